#pragma once

#include <mimosatally/Core>
#include <mimosatally/Http>

#include <optional>
#include <stdexcept>
#include <string>

namespace mimosatally::internal
{

/// \brief HTTP status codes of the entry; docs/api.md describes them for callers.
namespace status
{
constexpr unsigned OK = 200;
constexpr unsigned BAD_REQUEST = 400;
constexpr unsigned UNAUTHORIZED = 401;
constexpr unsigned NOT_FOUND = 404;
/// \brief The idempotency key was used with another request.
constexpr unsigned CONFLICT = 409;
/// \brief A call that may not be repeated has no idempotency key.
constexpr unsigned UNPROCESSABLE_CONTENT = 422;
/// \brief The call was not run: it cannot be served within the limits of the customer's contract.
constexpr unsigned TOO_MANY_REQUESTS = 429;
/// \brief The call may have been run: an attempt was lost.
constexpr unsigned BAD_GATEWAY = 502;
/// \brief The call was not run.
constexpr unsigned SERVICE_UNAVAILABLE = 503;
/// \brief The call may have been run: its outcome was not known before the deadline.
constexpr unsigned GATEWAY_TIMEOUT = 504;
} // namespace status

/// \brief Reason why the caller gets no answer from an endpoint, and the status to respond with.
struct CallRefusal {
    unsigned status = status::SERVICE_UNAVAILABLE;
    /// \brief Machine-readable, for example `wait-too-long`.
    std::string reason;
    /// \brief Human-readable.
    std::string message;
    /// \brief Invalid field or header of the request; empty if there is none.
    std::string param;
    /// \brief False: the call was not run and will not be. True: it may have been run.
    bool outcomeUnknown = false;
    /// \brief Time until a retry can succeed; not set if none can.
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

/// \brief Request, customer and configuration version that a refusal states.
struct RefusalContext {
    RequestId request;
    /// \brief Empty if the caller is unknown.
    CustomerId customer;
    ConfigurationVersion version = ConfigurationVersion(-1);
};

/// \brief Returns `not_run` or `outcome_unknown`.
std::string outcomeName(const CallRefusal &refusal);

/// \brief JSON body of a refusal (docs/design.md, section 3.5).
std::string refusalBody(const CallRefusal &refusal, const RefusalContext &context);

/// \brief Complete response with `Retry-After` in whole seconds, rounded up.
HttpResponse refusalResponse(const CallRefusal &refusal, const RefusalContext &context);

/// \brief Refusal of a malformed request.
CallRefusal malformed(std::string message, std::string param = {});

/// \brief Refusal of a call that was not run, with the reason of an agent, the router or the entry; the status follows from the reason.
CallRefusal refusedNotRun(std::string reason, std::optional<Duration> retryAfter);

/// \brief Refusal of a call that may have been run. \param status BAD_GATEWAY or GATEWAY_TIMEOUT
CallRefusal refusedOutcomeUnknown(unsigned status, std::string reason);

} // namespace mimosatally::internal
