#include <mimosatally/Audit>

#include <nlohmann/json.hpp>
#include <set>

namespace mimosatally
{

struct AuditVerifier::Impl {
    std::set<std::string> seenBatches;
    AuditReport report;
};

AuditVerifier::AuditVerifier()
    : impl_(std::make_unique<Impl>())
{
}

AuditVerifier::~AuditVerifier() = default;

void AuditVerifier::add(Offset offset, const std::string &payload)
{
    try {
        const auto batch = nlohmann::json::parse(payload);
        if (impl_->seenBatches.insert(batch.at("id").get<std::string>()).second) {
            impl_->report.records += batch.at("records").size();
        }
    } catch (const nlohmann::json::exception &error) {
        impl_->report.findings.push_back({{"offset " + std::to_string(offset.count())}, std::string("malformed batch: ") + error.what()});
    }
}

AuditReport AuditVerifier::verify() const
{
    return impl_->report;
}

} // namespace mimosatally
