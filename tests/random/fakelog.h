#pragma once

#include "schedulecheck.h"

#include <mimosatally/Core>

#include <functional>
#include <set>

namespace schedules
{

/// \brief One stream of the log service. An append lands late, or never, or twice; its answer may be lost; the service may be down.
class FakeLog
{
public:
    struct Append {
        std::string payload;
        /// \brief Called when the append landed and its answer was not lost.
        std::function<void()> answered;
    };

    /// \return false if the service is down, so that nothing was appended.
    bool append(std::string payload, std::function<void()> answered)
    {
        if (isDown) {
            return false;
        }
        underWay_.push_back({std::move(payload), std::move(answered)});
        return true;
    }

    /// \brief Lands, loses or repeats one append that is under way.
    void step(Draw &draw)
    {
        if (underWay_.empty()) {
            return;
        }
        const auto chosen = underWay_.begin() + static_cast<std::ptrdiff_t>(draw.below(underWay_.size()));
        if (draw.oneIn(8)) {
            underWay_.erase(chosen);
            return;
        }
        records.push_back(chosen->payload);
        if (draw.oneIn(6)) {
            // The service carries out the request a second time, later.
            chosen->answered = [] {};
            return;
        }
        const auto answered = std::move(chosen->answered);
        underWay_.erase(chosen);
        if (!draw.oneIn(6)) {
            answered();
        }
    }

    std::vector<std::string> records;
    bool isDown = false;

private:
    std::vector<Append> underWay_;
};

} // namespace schedules
