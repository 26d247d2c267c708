#include "streamlookup.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosatally::internal
{

using boost::asio::awaitable;

StreamLookup::StreamLookup(boost::asio::io_context &io, StreamTracker &tracker, StoreObservation &observation, Metrics &metrics)
    : io_(io)
    , tracker_(tracker)
    , observation_(observation)
    , metrics_(metrics)
    , askTimer_(io)
{
    observation_.setReadEnded([this] {
        wakeAll();
    });
}

StreamLookup::~StreamLookup()
{
    observation_.setReadEnded(nullptr);
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

bool StreamLookup::isOpen(const RequestId &root) const
{
    const StreamTracker::Knowledge knowledge = tracker_.find(root, MilliClock::now());
    return !knowledge.origin && !knowledge.neverJoined;
}

std::optional<StreamOrigin> StreamLookup::onlyOrigin(const Lookup &lookup) const
{
    if (!observation_.isNewerThan(lookup.mark)) {
        return std::nullopt;
    }
    const std::optional<SoftwareVersion> only = tracker_.versions().onlyVersion(lookup.service, MilliClock::now());
    return only ? std::optional(StreamOrigin {lookup.service, *only}) : std::nullopt;
}

std::optional<StreamOrigin> StreamLookup::ruleOrigin(const Lookup &lookup) const
{
    const Time now = MilliClock::now();
    OriginRules &rules = tracker_.rules();
    const bool known = lookup.route != nullptr && observation_.isNewerThan(lookup.mark) && tracker_.versions().isCovered(rules.neededHistory(), now);
    const std::optional<OriginChoice> choice = known ? rules.conclude(lookup.root, *lookup.route, now) : std::nullopt;
    return choice ? std::optional(StreamOrigin {choice->service, choice->version}) : std::nullopt;
}

bool StreamLookup::isDecided(const Lookup &lookup) const
{
    return !isOpen(lookup.root) || onlyOrigin(lookup);
}

StreamLookup::Finding StreamLookup::findingOf(const Lookup &lookup) const
{
    const StreamTracker::Knowledge knowledge = tracker_.find(lookup.root, MilliClock::now());
    if (knowledge.neverJoined) {
        return {std::nullopt, "conflicting", knowledge.recordedAt};
    }
    if (knowledge.origin) {
        return {knowledge.origin, lookup.asked ? "peer" : "recorded", knowledge.recordedAt};
    }
    if (const std::optional<StreamOrigin> only = onlyOrigin(lookup)) {
        return {only, "only_version", observation_.asOf()};
    }
    const std::optional<StreamOrigin> byRule = ruleOrigin(lookup);
    return {byRule, byRule ? "rule" : "unknown", observation_.asOf()};
}

awaitable<std::optional<StreamOrigin>> StreamLookup::lookUp(RequestId root, ServiceId service, const Route *route)
{
    if (root.value().size() > StreamOrigins::MAX_ROOT_BYTES) {
        root = RequestId();
    }
    Lookup lookup {std::move(root), std::move(service), MilliClock::now(), observation_.mark(), route};
    if (isOpen(lookup.root)) {
        lookup.asked = true;
        co_await waitForKnowledge(lookup);
    }
    const Finding finding = findingOf(lookup);
    logLookup(lookup, finding);
    co_return finding.origin;
}

void StreamLookup::logLookup(const Lookup &lookup, const Finding &finding)
{
    metrics_.increment("mimosatally_stream_lookups_total", std::string("outcome=\"") + finding.outcome + '"');
    const Time now = MilliClock::now();
    logEvent(LogEvent::StreamOriginLookedUp,
             {{"request", lookup.root},
              {"service", finding.origin ? finding.origin->service : lookup.service},
              {"version", finding.origin ? finding.origin->version : SoftwareVersion()},
              {"outcome", finding.outcome},
              {"after_ms", now - lookup.began},
              {"evidence_age_ms", finding.evidenceAt ? std::to_string((now - *finding.evidenceAt).count()) : "none"}});
}

awaitable<void> StreamLookup::waitForKnowledge(Lookup &lookup)
{
    if (waiting_.size() >= MAX_WAITING) {
        co_return;
    }
    // Nobody can tell the origin of a stream that is not named; it can still be known from the only version.
    const bool hasPeers = !lookup.root.empty() && ask_ && ask_({});
    if (hasPeers) {
        queueQuestion(lookup.root);
        co_await waitForRecord(lookup, lookup.began + FIRST_WAIT);
    }
    if (!isOpen(lookup.root)) {
        co_return;
    }
    if (hasPeers) {
        // A datagram may have been lost.
        queueQuestion(lookup.root);
    }
    co_await observeStore(lookup);
    if (hasPeers) {
        co_await waitUntilDecided(lookup, lookup.began + MAX_WAIT);
    }
}

awaitable<void> StreamLookup::observeStore(const Lookup &lookup)
{
    const Time end = MilliClock::now() + MAX_STORE_WAIT;
    while (canConclude(lookup) && !observation_.isNewerThan(lookup.mark) && MilliClock::now() < end) {
        observation_.request(lookup.mark);
        co_await waitOnce(lookup.root, end);
    }
    const bool needsHistory = canConclude(lookup) && observation_.isNewerThan(lookup.mark) && !onlyOrigin(lookup);
    if (cover_ && needsHistory && !tracker_.versions().isCovered(tracker_.rules().neededHistory(), MilliClock::now())) {
        co_await cover_();
    }
}

bool StreamLookup::canConclude(const Lookup &lookup) const
{
    const bool byRule = lookup.route != nullptr && isResumable(*lookup.route) && !lookup.root.empty();
    const bool byVersion = !lookup.service.empty() && !tracker_.versions().isMixed(lookup.service, MilliClock::now());
    return isOpen(lookup.root) && (byRule || byVersion);
}

awaitable<void> StreamLookup::waitForRecord(const Lookup &lookup, Time end)
{
    while (isOpen(lookup.root) && MilliClock::now() < end) {
        co_await waitOnce(lookup.root, end);
    }
}

awaitable<void> StreamLookup::waitUntilDecided(const Lookup &lookup, Time end)
{
    while (!isDecided(lookup) && MilliClock::now() < end) {
        co_await waitOnce(lookup.root, end);
    }
}

awaitable<void> StreamLookup::waitOnce(const RequestId &root, Time end)
{
    const auto entry = waiting_.insert(waiting_.end(), Waiting {&root, boost::asio::steady_timer(io_, end - MilliClock::now())});
    boost::system::error_code ignored;
    co_await entry->timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    waiting_.erase(entry);
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
    if (waiting_.empty()) {
        return;
    }
    const std::unordered_set<RequestId> told(roots.begin(), roots.end());
    for (Waiting &waiting : waiting_) {
        if (told.contains(*waiting.root)) {
            waiting.timer.cancel();
        }
    }
}

void StreamLookup::wakeAll()
{
    for (Waiting &waiting : waiting_) {
        waiting.timer.cancel();
    }
}

} // namespace mimosatally::internal
