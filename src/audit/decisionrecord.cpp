#include <mimosatally/Audit>

#include <array>

namespace mimosatally
{

namespace
{
constexpr std::array<std::string_view, 15> KIND_NAMES = {"ProcessStarted",
                                                         "ConfigurationApplied",
                                                         "CallerRejected",
                                                         "Admitted",
                                                         "Routed",
                                                         "Queued",
                                                         "Dispatched",
                                                         "Completed",
                                                         "Answered",
                                                         "Refused",
                                                         "Cancelled",
                                                         "ServiceReported",
                                                         "OrderAccepted",
                                                         "OrderRefused",
                                                         "ProcessStopped"};
static_assert(KIND_NAMES.size() == static_cast<std::size_t>(DecisionKind::ProcessStopped) + 1);
} // namespace

std::string_view toString(DecisionKind kind)
{
    return KIND_NAMES.at(static_cast<std::size_t>(kind));
}

DecisionKind parseDecisionKind(std::string_view name)
{
    for (std::size_t index = 0; index < KIND_NAMES.size(); ++index) {
        if (KIND_NAMES[index] == name) {
            return static_cast<DecisionKind>(index);
        }
    }
    throw MalformedInputError("unknown decision kind \"" + std::string(name) + '"');
}

std::string toString(const Receipt &receipt)
{
    return receipt.process.value() + '/' + receipt.incarnation.value() + '/' + std::to_string(receipt.sequence) + '/' + receipt.hash;
}

} // namespace mimosatally
