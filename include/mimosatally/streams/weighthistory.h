#pragma once

#include <mimosatally/core/milliclock.h>
#include <mimosatally/streams/originrule.h>

#include <algorithm>
#include <deque>
#include <map>

namespace mimosatally
{

/// \brief Weights of candidates over time. Performs no I/O.
template<class Id>
class WeightHistory
{
public:
    using Weights = std::map<Id, double>;

    /// \brief Records the weights that hold from \a now on. A candidate that is missing has none. \param window how long earlier ones are kept.
    void record(const Weights &weights, Time now, Duration window)
    {
        if (!recorded_) {
            recorded_ = true;
            for (const auto &[id, weight] : weights) {
                candidates_[id].current = weight;
            }
            return;
        }
        for (const auto &[id, weight] : weights) {
            candidates_.try_emplace(id);
        }
        for (auto &[id, candidate] : candidates_) {
            const auto given = weights.find(id);
            const double next = given == weights.end() ? 0 : given->second;
            if (next != candidate.current) {
                addPast(candidate, candidate.current, now);
                candidate.current = next;
            }
            forgetPast(candidate, now, window);
        }
        std::erase_if(candidates_, [](const auto &item) {
            return item.second.current == 0 && item.second.past.empty();
        });
    }

    /// \brief Records weights that held at some time before \a now, which is not known better.
    void recordEarlier(const Weights &weights, Time now)
    {
        for (const auto &[id, weight] : weights) {
            candidates_.try_emplace(id);
        }
        for (auto &[id, candidate] : candidates_) {
            const auto given = weights.find(id);
            addPast(candidate, given == weights.end() ? 0 : given->second, now);
        }
    }

    /// \brief Returns whether no candidate has a weight or had one lately.
    [[nodiscard]] bool isEmpty() const
    {
        return candidates_.empty();
    }

    [[nodiscard]] Weights current() const
    {
        Weights result;
        for (const auto &[id, candidate] : candidates_) {
            if (candidate.current > 0) {
                result[id] = candidate.current;
            }
        }
        return result;
    }

    /// \brief Returns the least and the most weight of each candidate in the \a window before \a now.
    [[nodiscard]] std::map<Id, WeightRange> ranges(Time now, Duration window) const
    {
        std::map<Id, WeightRange> result;
        for (const auto &[id, candidate] : candidates_) {
            WeightRange range {candidate.current, candidate.current};
            for (const Past &past : candidate.past) {
                if (now - past.until <= window) {
                    range.least = std::min(range.least, past.range.least);
                    range.most = std::max(range.most, past.range.most);
                }
            }
            if (range.most > 0) {
                result[id] = range;
            }
        }
        return result;
    }

private:
    /// \brief Weights that ended within this time of one another are kept as one range, which bounds the memory.
    static constexpr Duration MERGED_TIME = Duration(500);

    struct Past {
        WeightRange range;
        Time until;
    };

    struct Candidate {
        double current = 0;
        std::deque<Past> past;
    };

    static void addPast(Candidate &candidate, double weight, Time until)
    {
        if (candidate.past.empty() || until - candidate.past.back().until > MERGED_TIME) {
            candidate.past.push_back({{weight, weight}, until});
            return;
        }
        Past &last = candidate.past.back();
        last.range = {std::min(last.range.least, weight), std::max(last.range.most, weight)};
        // Kept a little longer than needed, at most for as long as weights go on changing.
        last.until = std::max(last.until, until);
    }

    static void forgetPast(Candidate &candidate, Time now, Duration window)
    {
        while (!candidate.past.empty() && now - candidate.past.front().until > window) {
            candidate.past.pop_front();
        }
    }

    std::map<Id, Candidate> candidates_;
    bool recorded_ = false;
};

} // namespace mimosatally
