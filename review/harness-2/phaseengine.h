#pragma once

/// \file
/// \brief Stand-in of a model worker that takes orders, and the judgement of the orders that it got.

#include "harness.h"

namespace review
{

/// \brief Bounds that the sheets of the deployments have in common.
constexpr std::int64_t LEASE_MS = 3000;
/// \brief A report's values are as of some hundred ms ago.
constexpr Milliseconds REPORT_AGE = Milliseconds(200);
/// \brief `switchS`: time after which a worker has changed its phase.
constexpr Milliseconds SWITCH_TIME = Milliseconds(3000);
constexpr Milliseconds HEARTBEAT_INTERVAL = Milliseconds(1200);

struct Order {
    std::int64_t at = 0;
    std::string holder;
    std::int64_t fence = 0;
};

/// \brief What becomes of an order.
struct OrderFate {
    Milliseconds answerTime = Milliseconds(1);
    /// \brief Time after which an order that gets no answer is carried out; zero for one that is answered.
    Milliseconds appliedAfter = Milliseconds(0);
};

/// \brief Engine that takes orders and says in its report what it was some time ago.
class Engine
{
public:
    struct Options {
        int slots = 64;
        /// \brief Rejects a generation number that is lower than one already seen.
        bool requireFence = false;
    };

    /// \param onOrder decides on an order by its holder.
    Engine(std::string id, Options options, Record &record, std::function<OrderFate(const std::string &)> onOrder)
        : id_(std::move(id))
        , options_(options)
        , record_(record)
        , onOrder_(std::move(onOrder))
        , server_([this](Channel &channel, const Message &request) {
            return handle(channel, request);
        })
    {
    }

    [[nodiscard]] const std::string &id() const
    {
        return id_;
    }

    [[nodiscard]] std::vector<Order> orders() const
    {
        const std::lock_guard lock(mutex_);
        return orders_;
    }

    [[nodiscard]] std::string heartbeat(int number)
    {
        const std::lock_guard lock(mutex_);
        const nlohmann::json entry = {{"service", "model"},
                                      {"address", addressOf(server_.port())},
                                      {"zone", "here"},
                                      {"version", "v1"},
                                      {"slots", options_.slots},
                                      {"state", "ready"},
                                      {"coldLeftMs", 0},
                                      {"phase", current().phase},
                                      {"models", {{{"name", "m"}, {"version", 1}, {"adapters", nlohmann::json::array()}}}},
                                      {"seqNum", number},
                                      {"born", born_}};
        return entry.dump();
    }

private:
    struct State {
        std::string phase = "decode";
        bool busy = false;
        std::int64_t accepted = 0;
    };

    State current()
    {
        if (state_.busy && Clock::now() >= switched_) {
            state_.busy = false;
            state_.phase = nextPhase_;
            history_.emplace_back(Clock::now(), state_);
        }
        return state_;
    }

    State reported()
    {
        current();
        State result;
        for (const auto &[since, state] : history_) {
            result = since + REPORT_AGE <= Clock::now() ? state : result;
        }
        return result;
    }

    bool handle(Channel &channel, const Message &request)
    {
        OrderFate fate;
        std::string reply = jsonAnswer(404, nlohmann::json::object());
        if (request.target == "/-/report") {
            const std::lock_guard lock(mutex_);
            const State state = reported();
            reply = jsonAnswer(200,
                               {{"phase", state.phase},
                                {"models", {{{"name", "m"}, {"version", 1}, {"adapters", nlohmann::json::array()}}}},
                                {"busy", state.busy},
                                {"seqNum", state.accepted},
                                {"queued", 0},
                                {"active", 0},
                                {"kvUsed", 0},
                                {"kvTotal", 968'798},
                                {"kvHandles", 0},
                                {"born", born_}});
        } else if (request.target == "/-/order") {
            const nlohmann::json order = nlohmann::json::parse(request.body);
            fate = onOrder_(order.at("holder"));
            recordOrder(order, fate.appliedAfter == Milliseconds(0));
            if (fate.appliedAfter > Milliseconds(0)) {
                pauseFor(fate.appliedAfter);
                record_.line(id_ + " carries out a late order of " + order.at("holder").get<std::string>() + ": " + std::to_string(carryOut(order)));
                return false;
            }
            reply = jsonAnswer(carryOut(order), nlohmann::json::object());
        }
        pauseFor(fate.answerTime);
        return channel.send(reply);
    }

    void recordOrder(const nlohmann::json &order, bool answered)
    {
        const std::lock_guard lock(mutex_);
        orders_.push_back({record_.nowMs(), order.at("holder"), order.at("fence")});
        record_.line("order at " + id_ + ": holder " + orders_.back().holder + ", generation " + std::to_string(orders_.back().fence) + ", phase "
                     + order.at("phase").get<std::string>() + (answered ? "" : ", left without an answer"));
    }

    /// \return the status of the answer.
    int carryOut(const nlohmann::json &order)
    {
        const std::lock_guard lock(mutex_);
        const State now = current();
        const std::string phase = order.at("phase");
        const std::int64_t fence = order.at("fence");
        if (options_.requireFence && fence < highestFence_) {
            return 412;
        }
        highestFence_ = std::max(highestFence_, fence);
        if (now.busy || (order.contains("precondition") && order.at("precondition") != now.accepted)) {
            return 409;
        }
        if (now.phase == phase) {
            return 200;
        }
        state_.busy = true;
        ++state_.accepted;
        nextPhase_ = phase;
        switched_ = Clock::now() + SWITCH_TIME;
        history_.emplace_back(Clock::now(), state_);
        return 202;
    }

    std::string id_;
    Options options_;
    Record &record_;
    std::function<OrderFate(const std::string &)> onOrder_;
    mutable std::mutex mutex_;
    State state_;
    std::vector<std::pair<Clock::time_point, State>> history_;
    std::string nextPhase_;
    Clock::time_point switched_;
    std::vector<Order> orders_;
    std::int64_t highestFence_ = 0;
    std::int64_t born_ = unixMs();
    Server server_;
};

/// \brief Judges the orders to one engine. \return whether the rule ONE was broken there.
inline bool isBroken(const Engine &engine, Record &record)
{
    bool broken = false;
    std::int64_t highest = 0;
    std::map<std::int64_t, std::string> holders;
    std::vector<Order> orders = engine.orders();
    for (std::size_t i = 0; i < orders.size(); ++i) {
        const Order &order = orders[i];
        const auto [known, isNew] = holders.emplace(order.fence, order.holder);
        if (!isNew && known->second != order.holder) {
            record.line("ONE at " + engine.id() + ": two holders with generation " + std::to_string(order.fence));
            broken = true;
        }
        if (order.fence < highest) {
            record.line("ONE at " + engine.id() + ": generation " + std::to_string(order.fence) + " of " + order.holder + " at " + std::to_string(order.at)
                        + " ms after generation " + std::to_string(highest));
            broken = true;
        }
        if (i > 0 && orders[i - 1].holder != order.holder && order.at - orders[i - 1].at < LEASE_MS) {
            record.line("ONE at " + engine.id() + ": " + orders[i - 1].holder + " at " + std::to_string(orders[i - 1].at) + " ms, then " + order.holder + " "
                        + std::to_string(order.at - orders[i - 1].at) + " ms later");
            broken = true;
        }
        highest = std::max(highest, order.fence);
    }
    return broken;
}

inline std::string phaseConfiguration(int slots)
{
    const nlohmann::json document = {
        {"version", 7},
        {"routes",
         {{{"name", "r1"},
           {"host", "h.example"},
           {"pathPrefix", "/generate/"},
           {"kind", "streaming"},
           {"timeoutMs", 15000},
           {"targetLatencyMs", 250},
           {"priority", 1},
           {"service", "model"},
           {"maxAttempts", 2},
           {"sessionAffinity", true},
           {"resumable", true},
           {"targetGapMs", 300}}}},
        {"services",
         {{{"name", "model"},
           {"maxConns", 470},
           {"engine",
            {{"slots", slots}, {"kvCacheTokens", 968'798}, {"tokenKvBytes", 18432.0}, {"linkMbps", 2200000.0}, {"handleTtlS", 5.0}, {"switchS", 3.0}}}}}},
        {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}};
    return document.dump();
}

} // namespace review
