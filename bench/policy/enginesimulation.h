#pragma once

#include <mimosatally/Placement>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace mimosatally::bench
{

/// \brief Request that the engine model runs.
struct EngineJob {
    std::size_t request = 0;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    /// \brief Hashes of the full prompt blocks.
    std::vector<std::uint64_t> blocks;
};

struct EngineSettings {
    double prefillTokensPerSecond = 8000;
    double decodeTokensPerSecond = 600;
    /// \brief Batch size that reaches the full decode speed; a smaller batch is proportionally slower.
    int fullDecodeBatch = 4;
    std::int64_t blockTokens = 2000;
    std::size_t cacheBlocks = 96;
    RoleSpeeds speeds;
    /// \brief Duration of a role change after the running requests have ended.
    Duration changeTime = Duration(5000);
};

/// \brief Model of one engine in virtual time: batched prefill and decode, prefix cache in blocks, role changes.
///
/// Prefill is served in order of arrival, decode in one batch. A full decode batch gets half of the engine's time while there is
/// prefill work, a smaller batch proportionally less. A request holds the blocks of its prompt and output while it runs. A finished
/// request leaves its prompt blocks in the prefix cache, which evicts the least recently used block first.
class EngineSimulation
{
public:
    struct Events {
        std::vector<std::size_t> started;
        std::vector<std::size_t> finished;
        std::vector<std::uint64_t> stored;
        std::vector<std::uint64_t> evicted;
    };

    /// \brief Sums over the whole run.
    struct Totals {
        std::int64_t promptTokens = 0;
        std::int64_t cachedTokens = 0;
        /// \brief Time in service with work.
        double busySeconds = 0;
        /// \brief Time out of service for role changes.
        double changingSeconds = 0;
        /// \brief Time that a decode batch below the full size left unused while there was no prefill work.
        double smallBatchSeconds = 0;
    };

    EngineSimulation(EngineSettings settings, EngineRole role)
        : settings_(settings)
        , role_(role)
    {
    }

    void submit(EngineJob job)
    {
        arrivals_.push_back(std::move(job));
    }

    /// \brief Schedules a role change, which begins when all submitted requests have ended.
    void changeRole(EngineRole role)
    {
        targetRole_ = role;
    }

    [[nodiscard]] bool isChangingRole() const
    {
        return targetRole_.has_value();
    }

    [[nodiscard]] EngineRole role() const
    {
        return role_;
    }

    [[nodiscard]] std::size_t activeRequests() const
    {
        return arrivals_.size() + prefill_.size() + decode_.size();
    }

    [[nodiscard]] const Totals &totals() const
    {
        return totals_;
    }

    /// \brief Advances the engine by \a tick.
    Events advance(Duration tick)
    {
        Events events;
        if (advanceRoleChange(tick, events)) {
            return events;
        }
        startArrivals(events);
        totals_.busySeconds += prefill_.empty() && decode_.empty() ? 0 : static_cast<double>(tick.count()) / 1000;
        const double seconds = static_cast<double>(tick.count()) / 1000;
        // A decode step takes as long for one sequence as for a full batch, so a batch below the full size leaves time for prefill.
        const double batch = std::min(1.0, static_cast<double>(decode_.size()) / settings_.fullDecodeBatch);
        const double decodeTime = seconds * (prefill_.empty() ? batch : batch / 2);
        totals_.smallBatchSeconds += prefill_.empty() && !decode_.empty() ? seconds - decodeTime : 0;
        advanceDecode(decodeTime, events);
        advancePrefill(seconds - decodeTime);
        return events;
    }

private:
    struct Running {
        EngineJob job;
        /// \brief Tokens still to be prefilled and decoded.
        double remainingPrefill = 0;
        double remainingOutput = 0;
        std::size_t heldBlocks = 0;
    };

    struct CachedBlock {
        std::list<std::uint64_t>::iterator recencyPosition;
    };

    [[nodiscard]] double phaseSpeed(double nominal, EngineRole favouredRole) const
    {
        if (role_ == EngineRole::Mixed) {
            return nominal * settings_.speeds.mixed / 1000;
        }
        return nominal * (role_ == favouredRole ? settings_.speeds.favoured : settings_.speeds.other) / 1000;
    }

    /// \return true if the engine is out of service for a role change.
    bool advanceRoleChange(Duration tick, Events &events)
    {
        if (!targetRole_ || activeRequests() > 0) {
            return false;
        }
        if (roleChangeElapsed_ == Duration(0)) {
            events.evicted.assign(recency_.begin(), recency_.end());
            recency_.clear();
            cached_.clear();
        }
        roleChangeElapsed_ += tick;
        totals_.changingSeconds += static_cast<double>(tick.count()) / 1000;
        if (roleChangeElapsed_ >= settings_.changeTime) {
            role_ = *targetRole_;
            targetRole_.reset();
            roleChangeElapsed_ = Duration(0);
        }
        return true;
    }

    void startArrivals(Events &events)
    {
        while (!arrivals_.empty()) {
            const EngineJob &job = arrivals_.front();
            const std::int64_t tokens = job.promptTokens + job.outputTokens;
            const auto neededBlocks = static_cast<std::size_t>((tokens + settings_.blockTokens - 1) / settings_.blockTokens);
            if (heldBlocks_ + neededBlocks > settings_.cacheBlocks && heldBlocks_ > 0) {
                return;
            }
            start(arrivals_.front(), neededBlocks, events);
            arrivals_.pop_front();
        }
    }

    void start(const EngineJob &job, std::size_t neededBlocks, Events &events)
    {
        std::size_t hits = 0;
        while (hits < job.blocks.size() && cached_.contains(job.blocks[hits])) {
            touch(job.blocks[hits]);
            ++hits;
        }
        heldBlocks_ += neededBlocks;
        evictTo(settings_.cacheBlocks > heldBlocks_ ? settings_.cacheBlocks - heldBlocks_ : 0, events);
        const std::int64_t cachedTokens = std::min(static_cast<std::int64_t>(hits) * settings_.blockTokens, job.promptTokens);
        totals_.promptTokens += job.promptTokens;
        totals_.cachedTokens += cachedTokens;
        prefill_.push_back({job, static_cast<double>(job.promptTokens - cachedTokens), static_cast<double>(job.outputTokens), neededBlocks});
        events.started.push_back(job.request);
    }

    void advancePrefill(double seconds)
    {
        double tokens = seconds * phaseSpeed(settings_.prefillTokensPerSecond, EngineRole::Prefill);
        while (!prefill_.empty() && prefill_.front().remainingPrefill <= tokens) {
            tokens -= prefill_.front().remainingPrefill;
            decode_.push_back(std::move(prefill_.front()));
            prefill_.pop_front();
        }
        if (!prefill_.empty()) {
            prefill_.front().remainingPrefill -= tokens;
        }
    }

    void advanceDecode(double seconds, Events &events)
    {
        const double tokens = seconds * phaseSpeed(settings_.decodeTokensPerSecond, EngineRole::Decode);
        const double tokensPerSequence = decode_.empty() ? 0 : tokens / static_cast<double>(decode_.size());
        for (Running &running : decode_) {
            running.remainingOutput -= tokensPerSequence;
            if (running.remainingOutput <= 0) {
                finish(running, events);
            }
        }
        std::erase_if(decode_, [](const Running &running) {
            return running.remainingOutput <= 0;
        });
    }

    void finish(const Running &running, Events &events)
    {
        heldBlocks_ -= running.heldBlocks;
        for (const std::uint64_t block : running.job.blocks) {
            if (!cached_.contains(block)) {
                recency_.push_back(block);
                cached_.emplace(block, CachedBlock {std::prev(recency_.end())});
                events.stored.push_back(block);
            }
        }
        evictTo(settings_.cacheBlocks > heldBlocks_ ? settings_.cacheBlocks - heldBlocks_ : 0, events);
        events.finished.push_back(running.job.request);
    }

    void touch(std::uint64_t block)
    {
        recency_.splice(recency_.end(), recency_, cached_.at(block).recencyPosition);
    }

    void evictTo(std::size_t blocks, Events &events)
    {
        while (recency_.size() > blocks) {
            events.evicted.push_back(recency_.front());
            cached_.erase(recency_.front());
            recency_.pop_front();
        }
    }

    EngineSettings settings_;
    EngineRole role_;
    Totals totals_;
    /// \brief Role that a requested role change leads to.
    std::optional<EngineRole> targetRole_;
    Duration roleChangeElapsed_ = Duration(0);
    std::deque<EngineJob> arrivals_;
    std::deque<Running> prefill_;
    std::vector<Running> decode_;
    std::size_t heldBlocks_ = 0;
    /// \brief Cached blocks, least recently used first.
    std::list<std::uint64_t> recency_;
    std::unordered_map<std::uint64_t, CachedBlock> cached_;
};

} // namespace mimosatally::bench
