#include "foresight.h"

#include <numeric>
#include <unordered_set>

namespace mimosatally::bench
{

namespace
{
/// \brief Width of the time grid; intervals are rounded outwards, which can only raise the bound.
constexpr Duration GRID = Duration(1000);

struct Job {
    std::size_t from = 0;
    std::size_t to = 0;
    /// \brief Engine seconds in the best role.
    double work = 0;
};

/// \brief Blocks that occur in more than one prompt.
std::unordered_set<std::uint64_t> sharedBlocks(const Trace &trace)
{
    std::unordered_set<std::uint64_t> seen;
    std::unordered_set<std::uint64_t> shared;
    for (std::size_t i = 0; i < trace.requests.size(); ++i) {
        for (const std::uint64_t block : blockHashes(trace.requests[i], i)) {
            if (!seen.insert(block).second) {
                shared.insert(block);
            }
        }
    }
    return shared;
}

std::vector<Job> makeJobs(const Trace &trace, const EngineSettings &settings)
{
    std::vector<Job> jobs;
    const std::unordered_set<std::uint64_t> shared = sharedBlocks(trace);
    for (std::size_t i = 0; i < trace.requests.size(); ++i) {
        const TraceRequest &request = trace.requests[i];
        std::int64_t uncached = request.promptTokens;
        for (const std::uint64_t block : blockHashes(request, i)) {
            uncached -= shared.contains(block) ? BLOCK_TOKENS : 0;
        }
        const double prefill = static_cast<double>(uncached) / settings.prefillTokensPerSecond;
        const double decode = static_cast<double>(request.outputTokens) / settings.decodeTokensPerSecond;
        const Time deadline = request.at + trace.contracts[request.customer].longestWait;
        const auto from = static_cast<std::size_t>(request.at.time_since_epoch() / GRID);
        const auto to = static_cast<std::size_t>((deadline.time_since_epoch() + GRID - Duration(1)) / GRID);
        jobs.push_back({from, std::max(to, from + 1), (prefill + decode) * 1000 / settings.speeds.favoured});
    }
    return jobs;
}

/// \brief Capacity of all engines until each point of the grid.
std::vector<double> cumulatedCapacity(const Trace &trace, std::size_t points)
{
    std::vector<double> result(points + 1, 0);
    const double width = static_cast<double>(GRID.count()) / 1000;
    for (std::size_t point = 0; point < points; ++point) {
        std::size_t engines = ENGINES;
        for (const Withdrawal &withdrawal : trace.withdrawals) {
            engines -= withdrawal.at + GRID <= Time(GRID * static_cast<std::int64_t>(point)) ? 1 : 0;
        }
        result[point + 1] = result[point] + static_cast<double>(engines) * width;
    }
    return result;
}

double workOfFullSlots(std::vector<Job> jobs, std::size_t slots)
{
    std::sort(jobs.begin(), jobs.end(), [](const Job &left, const Job &right) {
        return left.work > right.work;
    });
    jobs.resize(std::min(slots, jobs.size()));
    return std::accumulate(jobs.begin(), jobs.end(), 0.0, [](double sum, const Job &job) {
        return sum + job.work;
    });
}

/// \brief Remaining capacity of each interval of the grid.
class Intervals
{
public:
    Intervals(const std::vector<double> &cumulated, double slack)
        : points_(cumulated.size())
        , left_(points_ * points_, 0)
    {
        for (std::size_t from = 0; from < points_; ++from) {
            for (std::size_t to = from; to < points_; ++to) {
                left_[from * points_ + to] = cumulated[to] - cumulated[from] + slack;
            }
        }
    }

    /// \brief Takes as much of the job's work as all intervals around it permit.
    double take(const Job &job)
    {
        double amount = job.work;
        for (std::size_t from = 0; from <= job.from; ++from) {
            const double *row = &left_[from * points_];
            amount = std::min(amount, *std::min_element(row + job.to, row + points_));
        }
        amount = std::max(amount, 0.0);
        for (std::size_t from = 0; from <= job.from; ++from) {
            double *row = &left_[from * points_];
            for (std::size_t to = job.to; to < points_; ++to) {
                row[to] -= amount;
            }
        }
        return amount;
    }

private:
    std::size_t points_;
    std::vector<double> left_;
};
} // namespace

double foresightBound(const Trace &trace, const EngineSettings &settings, int slotsPerEngine)
{
    std::vector<Job> jobs = makeJobs(trace, settings);
    if (jobs.empty()) {
        return 0;
    }
    std::size_t points = 0;
    for (const Job &job : jobs) {
        points = std::max(points, job.to);
    }
    // A withdrawn engine still finishes what runs on it.
    const std::size_t engines = ENGINES + trace.withdrawals.size();
    const double slack = workOfFullSlots(jobs, engines * static_cast<std::size_t>(slotsPerEngine));
    Intervals intervals(cumulatedCapacity(trace, points), slack);
    std::stable_sort(jobs.begin(), jobs.end(), [](const Job &left, const Job &right) {
        return left.work < right.work;
    });
    double answered = 0;
    for (const Job &job : jobs) {
        answered += job.work > 0 ? intervals.take(job) / job.work : 1;
    }
    return answered;
}

} // namespace mimosatally::bench
