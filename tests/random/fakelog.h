#pragma once

#include "schedulecheck.h"

#include <mimosatally/Core>

#include <functional>
#include <set>

namespace schedules
{

/// \brief Fake of one stream of the log service. An append is applied late, twice or never; its answer may be lost; the service may be down.
class FakeLog
{
public:
    struct Append {
        std::string payload;
        /// \brief Called when the append was applied and its answer was not lost.
        std::function<void()> onAnswer;
    };

    /// \return false if the service is down, so that nothing was appended.
    bool append(std::string payload, std::function<void()> onAnswer)
    {
        if (isDown) {
            return false;
        }
        pending_.push_back({std::move(payload), std::move(onAnswer)});
        return true;
    }

    /// \brief Applies, loses or duplicates one pending append.
    void step(Draw &draw)
    {
        if (pending_.empty()) {
            return;
        }
        const auto chosen = pending_.begin() + static_cast<std::ptrdiff_t>(draw.below(pending_.size()));
        if (draw.oneIn(8)) {
            pending_.erase(chosen);
            return;
        }
        records.push_back(chosen->payload);
        if (draw.oneIn(6)) {
            // The service applies the request a second time later.
            chosen->onAnswer = [] {};
            return;
        }
        const auto onAnswer = std::move(chosen->onAnswer);
        pending_.erase(chosen);
        if (!draw.oneIn(6)) {
            onAnswer();
        }
    }

    std::vector<std::string> records;
    bool isDown = false;

private:
    std::vector<Append> pending_;
};

} // namespace schedules
