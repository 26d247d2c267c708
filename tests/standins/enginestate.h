#pragma once

#include "enginetext.h"
#include "standinoptions.h"

#include <cstdlib>
#include <deque>
#include <list>
#include <map>
#include <mimosatally/Core>
#include <set>
#include <sstream>

namespace mimosatally::standin
{

/// \brief Command line options of the engine stand-in.
struct EngineOptions {
    explicit EngineOptions(const StandinOptions &options)
        : prefillSpeed(options.number("prefill", 0))
        , decodeSpeed(options.number("decode", 0))
        , batch(options.number("batch", 8))
        , cacheBlocks(options.number("cache-blocks", 64))
        , blockTokens(options.number("block-tokens", 2000))
        , loadLag(options.number("load-lag-ms", 0))
        , role(options.text("role", "mixed"))
        , checksFencing(options.number("checks-fencing", 0) != 0)
        , orderTime(options.number("order-ms", 200))
        , eventDropInterval(options.number("drop-every-event", 0))
        , crashAfterTokens(options.number("crash-after-tokens", 0))
        , crashInOrder(options.number("crash-in-order", 0) != 0)
    {
        std::istringstream list(options.text("models", "model-a"));
        for (std::string model; std::getline(list, model, ',');) {
            models.insert(model);
        }
    }

    /// \brief Tokens per second; 0 means no delay.
    long prefillSpeed;
    long decodeSpeed;
    long batch;
    long cacheBlocks;
    long blockTokens;
    Duration loadLag;
    std::string role;
    bool checksFencing;
    Duration orderTime;
    /// \brief Every n-th cache event is dropped instead of published; 0 publishes all.
    long eventDropInterval;
    /// \brief The process exits at the n-th generated token, counted over all requests; 0 never exits.
    long crashAfterTokens;
    bool crashInOrder;
    std::set<std::string> models;
};

/// \brief Prefix cache of prompt blocks with least-recently-used eviction, and the events about stored and evicted blocks.
class EngineCache
{
public:
    EngineCache(long capacity, long blockTokens, long dropInterval)
        : capacity_(capacity)
        , blockBytes_(static_cast<std::size_t>(blockTokens) * 4)
        , dropInterval_(dropInterval)
    {
    }

    /// \brief Stores the full blocks of \a prompt. \return the number of prompt tokens, from the beginning, that were cached before.
    long storePrompt(std::string_view prompt)
    {
        long cachedBlocks = 0;
        bool prefixCached = true;
        std::uint64_t hash = hashText({});
        for (std::size_t start = 0; start + blockBytes_ <= prompt.size(); start += blockBytes_) {
            hash = hashText(prompt.substr(start, blockBytes_), hash);
            prefixCached = touchBlock(hash) && prefixCached;
            cachedBlocks += prefixCached ? 1 : 0;
        }
        return cachedBlocks * static_cast<long>(blockBytes_ / 4);
    }

    [[nodiscard]] long freeBlocks() const
    {
        return capacity_ - static_cast<long>(lruOrder_.size());
    }

    [[nodiscard]] nlohmann::json eventsAfter(long sequence) const
    {
        nlohmann::json list = nlohmann::json::array();
        for (const auto &event : events_) {
            if (event.at("sequence").get<long>() > sequence) {
                list.push_back(event);
            }
        }
        return {{"events", list}, {"last", sequence_}};
    }

private:
    static constexpr std::size_t MAX_EVENTS = 4096;

    /// \brief Makes a block the most recently used one and stores it if it is missing. \return true if it was cached before.
    bool touchBlock(std::uint64_t hash)
    {
        const auto found = blocksByHash_.find(hash);
        if (found != blocksByHash_.end()) {
            lruOrder_.splice(lruOrder_.end(), lruOrder_, found->second);
            return true;
        }
        if (capacity_ <= 0) {
            return false;
        }
        if (static_cast<long>(lruOrder_.size()) >= capacity_) {
            publish("evicted", lruOrder_.front());
            blocksByHash_.erase(lruOrder_.front());
            lruOrder_.pop_front();
        }
        blocksByHash_[hash] = lruOrder_.insert(lruOrder_.end(), hash);
        publish("stored", hash);
        return false;
    }

    void publish(const char *kind, std::uint64_t hash)
    {
        ++sequence_;
        if (dropInterval_ > 0 && sequence_ % dropInterval_ == 0) {
            return;
        }
        events_.push_back({{"sequence", sequence_}, {"kind", kind}, {"block", hash}});
        if (events_.size() > MAX_EVENTS) {
            events_.pop_front();
        }
    }

    long capacity_;
    std::size_t blockBytes_;
    long dropInterval_;
    long sequence_ = 0;
    std::list<std::uint64_t> lruOrder_;
    std::map<std::uint64_t, std::list<std::uint64_t>::iterator> blocksByHash_;
    std::deque<nlohmann::json> events_;
};

/// \brief Counts of request runs and list of orders, for checks by tests.
struct EngineLedger {
    struct Run {
        long started = 0;
        long completed = 0;
        long cancelled = 0;
        long cutOff = 0;
        long tokens = 0;
    };

    std::map<std::string, Run> runs;
    nlohmann::json orders = nlohmann::json::array();
    long conflicts = 0;
    long staleEpochs = 0;

    [[nodiscard]] nlohmann::json toJson() const
    {
        nlohmann::json requests = nlohmann::json::object();
        for (const auto &[id, run] : runs) {
            requests[id] = {
                {"started", run.started}, {"completed", run.completed}, {"cancelled", run.cancelled}, {"cut_off", run.cutOff}, {"tokens", run.tokens}};
        }
        return {{"requests", requests}, {"orders", orders}, {"conflicts", conflicts}, {"stale_epochs", staleEpochs}};
    }
};

} // namespace mimosatally::standin
