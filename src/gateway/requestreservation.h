#pragma once

#include <mimosatally/Routing>

#include <utility>

namespace mimosatally::internal
{

/// \brief Counts a call against the request limit of its decode engine during the prefill, so that other calls do not use up the limit meanwhile.
class RequestReservation
{
public:
    RequestReservation(PhaseRouter &router, EndpointId endpoint)
        : router_(router)
        , endpoint_(std::move(endpoint))
        , reservedAt_(MilliClock::now())
        , active_(router.reserveRequest(endpoint_, reservedAt_))
    {
    }

    ~RequestReservation()
    {
        end();
    }

    RequestReservation(const RequestReservation &) = delete;
    RequestReservation &operator=(const RequestReservation &) = delete;

    void end()
    {
        if (active_) {
            router_.returnRequest(endpoint_, reservedAt_, MilliClock::now());
            active_ = false;
        }
    }

private:
    PhaseRouter &router_;
    EndpointId endpoint_;
    Time reservedAt_;
    bool active_;
};

} // namespace mimosatally::internal
