#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

namespace schedules
{

/// \brief Seed and size of one randomised run. The environment variables MIMOSATALLY_RANDOM_SEED, MIMOSATALLY_RANDOM_SCHEDULES and
/// MIMOSATALLY_RANDOM_STEPS override them. With MIMOSATALLY_RANDOM_SHRINK=1 a failing schedule is shrunk, which takes minutes.
struct Bounds {
    std::uint64_t seed = 1;
    int schedules = 0;
    int steps = 0;
};

inline std::uint64_t environmentNumber(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

inline Bounds overridden(Bounds bounds)
{
    bounds.seed = environmentNumber("MIMOSATALLY_RANDOM_SEED", bounds.seed);
    bounds.schedules = static_cast<int>(environmentNumber("MIMOSATALLY_RANDOM_SCHEDULES", static_cast<std::uint64_t>(bounds.schedules)));
    bounds.steps = static_cast<int>(environmentNumber("MIMOSATALLY_RANDOM_STEPS", static_cast<std::uint64_t>(bounds.steps)));
    return bounds;
}

/// \brief Pseudorandom choices of one step, seeded with its number in the schedule.
class Draw
{
public:
    explicit Draw(std::uint32_t seed)
        : state_(seed * 2654435761ULL + 88172645463325252ULL)
    {
    }

    /// \brief Returns a number from 0 to \a bound - 1.
    std::size_t below(std::size_t bound)
    {
        state_ ^= state_ << 13;
        state_ ^= state_ >> 7;
        state_ ^= state_ << 17;
        return static_cast<std::size_t>(state_ >> 11) % bound;
    }

    bool oneIn(std::size_t bound)
    {
        return below(bound) == 0;
    }

private:
    std::uint64_t state_;
};

/// \brief Result of a randomised run; the description contains the schedule and the violated invariant.
struct Result {
    bool holds = false;
    std::string description;
};

/// \brief Calls \a run(schedule) for random schedules; \a run throws if an invariant is violated.
template<class Run>
Result check(const Bounds &bounds, Run run)
{
    rc::detail::TestParams parameters;
    parameters.seed = bounds.seed;
    parameters.maxSuccess = bounds.schedules;
    parameters.disableShrinking = environmentNumber("MIMOSATALLY_RANDOM_SHRINK", 0) == 0;
    const auto steps = static_cast<std::size_t>(bounds.steps);
    const auto result = rc::detail::checkTestable(
        [&] {
            const auto numbers = rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>());
            run(*rc::gen::container<std::vector<std::uint32_t>>(steps, numbers));
        },
        rc::detail::TestMetadata(),
        parameters);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    return {result.template is<rc::detail::SuccessResult>(), text.str()};
}

/// \brief Throws std::logic_error if \a condition, an invariant of the run, does not hold.
inline void require(bool condition, const std::string &statement)
{
    if (!condition) {
        throw std::logic_error("violated: " + statement);
    }
}

} // namespace schedules
