#include "streamlookup.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
/// \brief Name of a lookup's result for metrics and log.
const char *outcomeOf(const StreamTracker::Knowledge &knowledge, bool asked)
{
    if (knowledge.neverJoined) {
        return "conflicting";
    }
    if (!knowledge.origin) {
        return "unknown";
    }
    if (knowledge.fromOnlyVersion) {
        return "only_version";
    }
    return asked ? "peer" : "recorded";
}
} // namespace

StreamLookup::StreamLookup(boost::asio::io_context &io, StreamTracker &tracker, Metrics &metrics)
    : io_(io)
    , tracker_(tracker)
    , metrics_(metrics)
    , askTimer_(io)
{
}

void StreamLookup::setAsk(Ask ask)
{
    ask_ = std::move(ask);
}

void StreamLookup::setCover(Cover cover)
{
    cover_ = std::move(cover);
}

void StreamLookup::setAnnounce(Announce announce)
{
    announce_ = std::move(announce);
}

void StreamLookup::streamEnded(const RequestId &root, StreamTracker::End end)
{
    const bool mustTell = tracker_.streamEnded(root, end, MilliClock::now());
    if (mustTell && announce_) {
        announce_();
    }
}

bool StreamLookup::isOpen(const RequestId &root, const ServiceId &service) const
{
    const StreamTracker::Knowledge knowledge = tracker_.find(root, service, MilliClock::now());
    return !knowledge.origin && !knowledge.neverJoined;
}

awaitable<std::optional<StreamOrigin>> StreamLookup::lookUp(RequestId root, ServiceId service)
{
    const Time began = MilliClock::now();
    if (root.value().size() > StreamOrigins::MAX_ROOT_BYTES) {
        root = RequestId();
    }
    bool asked = false;
    if (isOpen(root, service)) {
        asked = true;
        co_await waitForKnowledge(root, service);
    }
    const StreamTracker::Knowledge knowledge = tracker_.find(root, service, MilliClock::now());
    logLookup(root, service, knowledge.origin, outcomeOf(knowledge, asked), began);
    co_return knowledge.origin;
}

void StreamLookup::logLookup(const RequestId &root, const ServiceId &service, const std::optional<StreamOrigin> &origin, const char *outcome, Time began)
{
    metrics_.increment("mimosatally_stream_lookups_total", std::string("outcome=\"") + outcome + '"');
    logEvent(LogEvent::StreamOriginLookedUp,
             {{"request", root},
              {"service", origin ? origin->service : service},
              {"version", origin ? origin->version : SoftwareVersion()},
              {"outcome", outcome},
              {"after_ms", MilliClock::now() - began}});
}

awaitable<void> StreamLookup::waitForKnowledge(RequestId root, ServiceId service)
{
    // Nobody can tell the origin of a stream that is not named; it can still be known from the only version.
    const bool hasPeers = !root.empty() && ask_ && waiting_.size() < MAX_WAITING && ask_({});
    if (hasPeers) {
        queueQuestion(root);
    }
    const Time asked = MilliClock::now();
    if (cover_ && !tracker_.versions().isCovered(asked) && !tracker_.versions().isMixed(service, asked)) {
        co_await cover_();
    }
    if (!hasPeers) {
        co_return;
    }
    if (isOpen(root, service)) {
        co_await waitOnce(root, asked + MAX_WAIT / 2);
    }
    if (isOpen(root, service) && MilliClock::now() < asked + MAX_WAIT) {
        // A datagram may have been lost.
        queueQuestion(root);
        co_await waitOnce(root, asked + MAX_WAIT);
    }
}

awaitable<void> StreamLookup::waitOnce(const RequestId &root, Time end)
{
    const Time now = MilliClock::now();
    if (now >= end) {
        co_return;
    }
    std::shared_ptr<Waiting> &entry = waiting_[root];
    if (!entry) {
        entry = std::make_shared<Waiting>(io_);
    }
    const std::shared_ptr<Waiting> waiting = entry;
    if (waiting->lookups == 0) {
        waiting->timer.expires_after(end - now);
    }
    ++waiting->lookups;
    boost::system::error_code ignored;
    co_await waiting->timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    --waiting->lookups;
    if (waiting->lookups == 0) {
        waiting_.erase(root);
    }
}

void StreamLookup::queueQuestion(const RequestId &root)
{
    const bool isFirst = questions_.empty();
    questions_.insert(root);
    if (!isFirst) {
        return;
    }
    askTimer_.expires_after(ASK_DELAY);
    askTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            askQueued();
        }
    });
}

void StreamLookup::askQueued()
{
    const std::vector<RequestId> roots(questions_.begin(), questions_.end());
    questions_.clear();
    if (ask_) {
        ask_(roots);
    }
}

void StreamLookup::wake(const std::vector<RequestId> &roots)
{
    for (const RequestId &root : roots) {
        const auto found = waiting_.find(root);
        if (found != waiting_.end()) {
            found->second->timer.cancel();
        }
    }
}

} // namespace mimosatally::internal
