#include "limitreport.h"

#include <algorithm>

namespace mimosatally::internal
{

namespace
{
constexpr Duration MIN_CHANGE_LINE_INTERVAL = Duration(1000);
constexpr const char *LIMIT_METRIC = "mimosatally_endpoint_limit_per_second";
constexpr const char *SHARE_METRIC = "mimosatally_endpoint_limit_own_per_second";
constexpr const char *SENT_METRIC = "mimosatally_endpoint_limit_sent_4s";

std::string_view changeName(LimitChange change)
{
    switch (change) {
    case LimitChange::Named:
        return "named";
    case LimitChange::Changed:
        return "changed";
    case LimitChange::Ended:
        return "ended";
    case LimitChange::None:
        break;
    }
    return "none";
}

std::string labelOf(const EndpointId &endpoint)
{
    return "endpoint=\"" + endpoint.value() + '"';
}
} // namespace

LimitReport::LimitReport(const PhaseRouter &router, Metrics &metrics)
    : router_(router)
    , metrics_(metrics)
{
}

void LimitReport::recordChange(const RequestId &request, const EndpointId &endpoint, LimitChange change, Time now)
{
    if (change == LimitChange::None) {
        return;
    }
    const auto [logged, isNew] = changeLoggedAt_.try_emplace(endpoint, now);
    if (!isNew && now - logged->second < MIN_CHANGE_LINE_INTERVAL) {
        return;
    }
    logged->second = now;
    const std::optional<RequestLimitUse> use = router_.requestLimit(endpoint, now);
    logEvent(LogEvent::EndpointLimitChanged,
             {{"request", request},
              {"endpoint", endpoint},
              {"change", changeName(change)},
              {"limit_per_s", use ? std::to_string(requestsPerSecond(use->limit)) : std::string("-")},
              {"prefills_4s", use ? use->prefills : 0},
              {"runs_4s", use ? use->runs : 0}});
}

void LimitReport::update(Time now)
{
    std::erase_if(changeLoggedAt_, [now](const auto &entry) {
        return now - entry.second >= MIN_CHANGE_LINE_INTERVAL;
    });
    const std::vector<RequestLimitUse> uses = router_.requestLimits(now);
    std::erase_if(withMetrics_, [&](const EndpointId &endpoint) {
        const bool ended = std::ranges::find(uses, endpoint, &RequestLimitUse::endpoint) == uses.end();
        if (ended) {
            removeMetrics(endpoint);
        }
        return ended;
    });
    for (std::size_t i = 0; i < std::min(uses.size(), MAX_LINES); ++i) {
        const RequestLimitUse &use = uses[i];
        logEvent(LogEvent::EndpointLimitUsed,
                 {{"endpoint", use.endpoint},
                  {"limit_per_s", requestsPerSecond(use.limit)},
                  {"age_ms", use.age},
                  {"source", use.fromPeer ? "peer" : "answer"},
                  {"own_per_s", use.ownPerSecond},
                  {"prefills_4s", use.prefills},
                  {"runs_4s", use.runs}});
        setMetrics(use);
    }
}

void LimitReport::setMetrics(const RequestLimitUse &use)
{
    const std::string label = labelOf(use.endpoint);
    metrics_.set(LIMIT_METRIC, label, requestsPerSecond(use.limit));
    metrics_.set(SHARE_METRIC, label, use.ownPerSecond);
    metrics_.set(SENT_METRIC, label, use.prefills + use.runs);
    if (std::ranges::find(withMetrics_, use.endpoint) == withMetrics_.end()) {
        withMetrics_.push_back(use.endpoint);
    }
}

void LimitReport::removeMetrics(const EndpointId &endpoint)
{
    const std::string label = labelOf(endpoint);
    metrics_.removeGauge(LIMIT_METRIC, label);
    metrics_.removeGauge(SHARE_METRIC, label);
    metrics_.removeGauge(SENT_METRIC, label);
}

} // namespace mimosatally::internal
