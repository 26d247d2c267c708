#pragma once

#include "storeobservation.h"
#include "streams/streamtracker.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>

namespace mimosatally::internal
{

/// \brief Finds out which version wrote the first event of a stream, with the help of the other gateways and of the store.
///
/// A record of the stream, own or told by another gateway, is enough by itself. Without one the origin follows only from the absence of a second version of the
/// service, which a read of the store has to show that was sent after the lookup began.
class StreamLookup
{
public:
    /// \brief Longest time for which a lookup waits for other gateways.
    static constexpr Duration MAX_WAIT = Duration(120);
    /// \brief Time after which other gateways are asked again, since datagrams get lost, and the store is read. Gateways of one region answer sooner.
    static constexpr Duration FIRST_WAIT = Duration(40);
    /// \brief Longest time for which a lookup waits for a read of the store.
    static constexpr Duration MAX_STORE_WAIT = Duration(400);
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

    StreamLookup(boost::asio::io_context &io, StreamTracker &tracker, StoreObservation &observation, Metrics &metrics);
    ~StreamLookup();
    StreamLookup(const StreamLookup &) = delete;
    StreamLookup &operator=(const StreamLookup &) = delete;

    void setAsk(Ask ask);
    void setCover(Cover cover);
    void setAnnounce(Announce announce);

    /// \brief Returns the origin of a stream that a call to \a service continues; empty if it is not known, so that nothing may be joined to it.
    ///
    /// Takes at most FIRST_WAIT and MAX_STORE_WAIT, and the time of one read of the store's history in a process that has just started. The origin can be
    /// another service, if the route has had several.
    /// \param service empty if the stream can come from several services, so that no version of one of them says anything about it.
    /// \param route of the call; null if nothing follows from it. It must live until the lookup has ended.
    boost::asio::awaitable<std::optional<StreamOrigin>> lookUp(RequestId root, ServiceId service, const Route *route = nullptr);

    /// \brief Records the end of an attempt, as StreamTracker::streamEnded() does, and tells other gateways at once if they have to know.
    void streamEnded(const RequestId &root, StreamTracker::End end);

    /// \brief Ends the waiting for \a roots, of which another gateway has told.
    void wake(const std::vector<RequestId> &roots);

private:
    /// \brief Lookup of one call.
    struct Lookup {
        RequestId root;
        ServiceId service;
        Time began;
        /// \brief A conclusion by absence needs an observation of the store that is newer.
        StoreObservation::Mark mark;
        const Route *route = nullptr;
        bool asked = false;
    };

    /// \brief What a lookup has found out.
    struct Finding {
        std::optional<StreamOrigin> origin;
        /// \brief Name for metrics and log.
        const char *outcome = "unknown";
        /// \brief As of when the origin was recorded or the store was observed; empty if neither is the case.
        std::optional<Time> evidenceAt;
    };

    /// \brief Wait of one lookup, which wake() can end.
    struct Waiting {
        const RequestId *root;
        boost::asio::steady_timer timer;
    };

    /// \brief Returns whether other gateways could still tell the origin.
    [[nodiscard]] bool isOpen(const RequestId &root) const;
    /// \brief Returns the origin that follows from the absence of other versions in an observation that is newer than the lookup.
    [[nodiscard]] std::optional<StreamOrigin> onlyOrigin(const Lookup &lookup) const;
    /// \brief Returns the origin that follows from the rule by which streams begin, in an observation that is newer than the lookup.
    [[nodiscard]] std::optional<StreamOrigin> ruleOrigin(const Lookup &lookup) const;
    [[nodiscard]] bool isDecided(const Lookup &lookup) const;
    /// \brief Returns whether an observation of the store can decide the lookup.
    [[nodiscard]] bool canConclude(const Lookup &lookup) const;
    [[nodiscard]] Finding findingOf(const Lookup &lookup) const;

    boost::asio::awaitable<void> waitForKnowledge(Lookup &lookup);
    /// \brief Waits for an observation of the store if a conclusion from it is possible.
    boost::asio::awaitable<void> observeStore(const Lookup &lookup);
    /// \brief Waits for a record of another gateway, which goes before a conclusion from the store.
    boost::asio::awaitable<void> waitForRecord(const Lookup &lookup, Time end);
    /// \brief Waits until the lookup is decided.
    boost::asio::awaitable<void> waitUntilDecided(const Lookup &lookup, Time end);
    /// \brief Waits until another gateway has told of \a root or a read of the store has ended.
    boost::asio::awaitable<void> waitOnce(const RequestId &root, Time end);
    void wakeAll();
    /// \brief Asks for \a root after ASK_DELAY.
    void queueQuestion(const RequestId &root);
    void askQueued();
    void logLookup(const Lookup &lookup, const Finding &finding);

    boost::asio::io_context &io_;
    StreamTracker &tracker_;
    StoreObservation &observation_;
    Metrics &metrics_;
    Ask ask_;
    Cover cover_;
    Announce announce_;
    std::list<Waiting> waiting_;
    std::unordered_set<RequestId> questions_;
    boost::asio::steady_timer askTimer_;
};

} // namespace mimosatally::internal
