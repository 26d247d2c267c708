#pragma once

#include <mimosatally/Core>
#include <mimosatally/Http>

#include <optional>
#include <stdexcept>
#include <string>

namespace mimosatally::internal
{

/// \brief HTTP status codes of refusals; docs/api.md describes them for callers.
namespace status
{
constexpr unsigned OK = 200;
constexpr unsigned MALFORMED = 400;
constexpr unsigned UNKNOWN_KEY = 401;
constexpr unsigned NOT_FOUND = 404;
constexpr unsigned OTHER_BODY = 409;
constexpr unsigned KEY_MISSING = 422;
constexpr unsigned REFUSED_BY_CONTRACT = 429;
constexpr unsigned OUTCOME_UNKNOWN = 502;
constexpr unsigned NOT_RUN = 503;
constexpr unsigned UNKNOWN_WITHIN_WAIT = 504;
} // namespace status

/// \brief Why a call got no answer from an endpoint.
struct CallRefusal {
    unsigned status = status::NOT_RUN;
    /// \brief Machine-readable, for example `wait-too-long`.
    std::string reason;
    /// \brief For people.
    std::string message;
    /// \brief Field of the request that is wrong, if one is.
    std::string param;
    /// \brief False: the call was not run and will not be. True: it may have been run.
    bool outcomeUnknown = false;
    /// \brief When a retry can succeed; nothing if it cannot.
    std::optional<Duration> retryAfter;
};

/// \brief Ends the handling of a call with a refusal.
class CallRefusedError : public Error
{
public:
    explicit CallRefusedError(CallRefusal refusal);

    [[nodiscard]] const CallRefusal &refusal() const;

private:
    CallRefusal refusal_;
};

/// \brief What a refusal states besides its reason.
struct RefusalContext {
    RequestId request;
    /// \brief Empty if the caller is not known.
    CustomerId contract;
    ConfigurationVersion version = ConfigurationVersion(-1);
};

/// \brief `not_run` or `outcome_unknown`.
std::string outcomeName(const CallRefusal &refusal);

/// \brief JSON body of a refusal (docs/design.md, section 3.5).
std::string refusalBody(const CallRefusal &refusal, const RefusalContext &context);

/// \brief Complete response with `Retry-After` in whole seconds, rounded up.
HttpResponse refusalResponse(const CallRefusal &refusal, const RefusalContext &context);

/// \brief Refusal of a request that does not have the expected form.
CallRefusal malformed(std::string message, std::string param = {});

/// \brief Refusal that states an agent's or the router's reason; the status follows from the reason.
CallRefusal refusedNotRun(std::string reason, std::optional<Duration> retryAfter);

/// \brief Refusal of a call that may have been run. \param status OUTCOME_UNKNOWN or UNKNOWN_WITHIN_WAIT
CallRefusal refusedOutcomeUnknown(unsigned status, std::string reason);

} // namespace mimosatally::internal
