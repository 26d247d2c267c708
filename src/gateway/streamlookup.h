#pragma once

#include "streamtracker.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace mimosatally::internal
{

/// \brief Finds out which version wrote the first event of a stream, with the help of the store's history and of the other gateways.
class StreamLookup
{
public:
    /// \brief Longest time for which a lookup waits for other gateways.
    static constexpr Duration MAX_WAIT = Duration(120);
    /// \brief Bounds the lookups that wait at one time; further ones know only what is recorded.
    static constexpr std::size_t MAX_WAITING = 1024;

    /// \brief Lookups that begin within this time ask together.
    static constexpr Duration ASK_DELAY = Duration(5);

    /// \brief Asks all known gateways for the origins of \a roots, which may be empty. \return whether there are any gateways.
    using Ask = std::function<bool(const std::vector<RequestId> &roots)>;
    /// \brief Completes the version history from the store if it can; ends without an error if it cannot.
    using Cover = std::function<boost::asio::awaitable<void>()>;
    /// \brief Sends what the tracker has to announce.
    using Announce = std::function<void()>;

    StreamLookup(boost::asio::io_context &io, StreamTracker &tracker, Metrics &metrics);

    void setAsk(Ask ask);
    void setCover(Cover cover);
    void setAnnounce(Announce announce);

    /// \brief Returns the origin of a stream that a call to \a service continues; empty if it is not known, so that nothing may be joined to it.
    ///
    /// Takes at most MAX_WAIT, and the time of one read of the store in a process that has just started. The origin can be another service, if the route
    /// has had several.
    boost::asio::awaitable<std::optional<StreamOrigin>> lookUp(RequestId root, ServiceId service);

    /// \brief Records the end of an attempt, as StreamTracker::streamEnded() does, and tells other gateways at once if they have to know.
    void streamEnded(const RequestId &root, StreamTracker::End end);

    /// \brief Ends the waiting for \a roots, of which another gateway has told.
    void wake(const std::vector<RequestId> &roots);

private:
    /// \brief Returns whether other gateways could still tell the origin.
    [[nodiscard]] bool isOpen(const RequestId &root, const ServiceId &service) const;

    /// \brief Lookups that wait for the same stream.
    struct Waiting {
        explicit Waiting(boost::asio::io_context &io)
            : timer(io)
        {
        }
        boost::asio::steady_timer timer;
        int lookups = 0;
    };

    boost::asio::awaitable<void> waitForKnowledge(RequestId root, ServiceId service);
    boost::asio::awaitable<void> waitOnce(const RequestId &root, Time end);
    /// \brief Asks for \a root after ASK_DELAY.
    void queueQuestion(const RequestId &root);
    void askQueued();
    void logLookup(const RequestId &root, const ServiceId &service, const std::optional<StreamOrigin> &origin, const char *outcome, Time began);

    boost::asio::io_context &io_;
    StreamTracker &tracker_;
    Metrics &metrics_;
    Ask ask_;
    Cover cover_;
    Announce announce_;
    std::unordered_map<RequestId, std::shared_ptr<Waiting>> waiting_;
    std::unordered_set<RequestId> questions_;
    boost::asio::steady_timer askTimer_;
};

} // namespace mimosatally::internal
