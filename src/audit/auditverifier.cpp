#include "audit/crosscheck.h"
#include "audit/schedulerreplay.h"

#include <mimosatally/Audit>

#include <nlohmann/json.hpp>
#include <set>

namespace mimosatally
{

using internal::AuditChain;

struct AuditVerifier::Impl {
    using ChainId = std::pair<ProcessId, IncarnationId>;

    std::set<std::string> seenBatches;
    std::map<ChainId, AuditChain> chains;
    std::vector<Finding> malformed;

    void addBatch(Offset offset, const nlohmann::json &batch)
    {
        if (!seenBatches.insert(batch.at("id").get<std::string>()).second) {
            return;
        }
        const ChainId id(ProcessId(batch.at("process").get<std::string>()), IncarnationId(batch.at("incarnation").get<std::string>()));
        AuditChain &chain = chains.try_emplace(id, id.first, id.second).first->second;
        for (const auto &record : batch.at("records")) {
            try {
                chain.add(record);
            } catch (const MalformedInputError &error) {
                addMalformed(offset, error.what());
            }
        }
        chain.recordLastHash(batch.at("hash").get<std::string>());
    }

    void addMalformed(Offset offset, const std::string &message)
    {
        malformed.push_back({{"audit offset " + std::to_string(offset.count())}, message});
    }
};

AuditVerifier::AuditVerifier()
    : impl_(std::make_unique<Impl>())
{
}

AuditVerifier::~AuditVerifier() = default;

void AuditVerifier::add(Offset offset, const std::string &payload)
{
    try {
        impl_->addBatch(offset, nlohmann::json::parse(payload));
    } catch (const nlohmann::json::exception &error) {
        impl_->addMalformed(offset, std::string("malformed batch: ") + error.what());
    }
}

AuditReport AuditVerifier::verify() const
{
    AuditReport report;
    report.chains = impl_->chains.size();
    report.findings = impl_->malformed;
    internal::CrossCheck crossCheck;
    for (const auto &[id, chain] : impl_->chains) {
        report.records += chain.records().size();
        chain.check(report);
        if (chain.isAgent()) {
            internal::SchedulerReplay(chain, report).run();
        }
        crossCheck.add(chain);
    }
    crossCheck.check(report);
    return report;
}

bool AuditVerifier::hasRecord(const Receipt &receipt) const
{
    const auto chain = impl_->chains.find({receipt.process, receipt.incarnation});
    if (chain == impl_->chains.end()) {
        return false;
    }
    const auto record = chain->second.records().find(receipt.sequence);
    return record != chain->second.records().end() && record->second.hash == receipt.hash;
}

} // namespace mimosatally
