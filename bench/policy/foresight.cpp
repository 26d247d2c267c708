#include "foresight.h"

#include <numeric>
#include <unordered_set>

namespace mimosatally::bench
{

namespace
{
/// \brief Step of the time grid. Intervals are rounded outwards, which can only raise the bound.
constexpr Duration GRID_STEP = Duration(1000);

struct Job {
    /// \brief Grid points of arrival and start deadline.
    std::size_t from = 0;
    std::size_t to = 0;
    /// \brief Engine time in the best role, in seconds.
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
        const auto from = static_cast<std::size_t>(request.at.time_since_epoch() / GRID_STEP);
        const auto to = static_cast<std::size_t>((deadline.time_since_epoch() + GRID_STEP - Duration(1)) / GRID_STEP);
        jobs.push_back({from, std::max(to, from + 1), (prefill + decode) * 1000 / settings.speeds.favoured});
    }
    return jobs;
}

/// \brief Engine seconds that all engines provide up to each point of the grid.
std::vector<double> cumulativeCapacity(const Trace &trace, std::size_t points)
{
    std::vector<double> result(points + 1, 0);
    const double width = static_cast<double>(GRID_STEP.count()) / 1000;
    for (std::size_t point = 0; point < points; ++point) {
        std::size_t engines = ENGINES;
        for (const Withdrawal &withdrawal : trace.withdrawals) {
            engines -= withdrawal.at + GRID_STEP <= Time(GRID_STEP * static_cast<std::int64_t>(point)) ? 1 : 0;
        }
        result[point + 1] = result[point] + static_cast<double>(engines) * width;
    }
    return result;
}

/// \brief Work of the largest jobs that fill \a slots slots, in engine seconds.
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

/// \brief Remaining capacity of each interval of the grid, in engine seconds.
class RemainingCapacity
{
public:
    RemainingCapacity(const std::vector<double> &cumulative, double slack)
        : points_(cumulative.size())
        , remaining_(points_ * points_, 0)
    {
        for (std::size_t from = 0; from < points_; ++from) {
            for (std::size_t to = from; to < points_; ++to) {
                remaining_[from * points_ + to] = cumulative[to] - cumulative[from] + slack;
            }
        }
    }

    /// \brief Allocates as much of the job's work as all intervals that contain the job permit. \return the allocated work.
    double allocate(const Job &job)
    {
        double amount = job.work;
        for (std::size_t from = 0; from <= job.from; ++from) {
            const double *row = &remaining_[from * points_];
            amount = std::min(amount, *std::min_element(row + job.to, row + points_));
        }
        amount = std::max(amount, 0.0);
        for (std::size_t from = 0; from <= job.from; ++from) {
            double *row = &remaining_[from * points_];
            for (std::size_t to = job.to; to < points_; ++to) {
                row[to] -= amount;
            }
        }
        return amount;
    }

private:
    std::size_t points_;
    std::vector<double> remaining_;
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
    // A withdrawn engine still finishes its running requests.
    const std::size_t engines = ENGINES + trace.withdrawals.size();
    const double slack = workOfFullSlots(jobs, engines * static_cast<std::size_t>(slotsPerEngine));
    RemainingCapacity remainingCapacity(cumulativeCapacity(trace, points), slack);
    std::stable_sort(jobs.begin(), jobs.end(), [](const Job &left, const Job &right) {
        return left.work < right.work;
    });
    double answered = 0;
    for (const Job &job : jobs) {
        answered += job.work > 0 ? remainingCapacity.allocate(job) / job.work : 1;
    }
    return answered;
}

} // namespace mimosatally::bench
