#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace mimosatally
{

/// \brief Counters, gauges and distributions of one process, in the Prometheus text format.
///
/// Distributions use Boost.Accumulators with the P-square estimator, so their memory does not grow with the number of
/// observations.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(Metrics &&) noexcept;
    Metrics &operator=(Metrics &&) noexcept;

    /// \brief Adds to a counter. \param labels in Prometheus form, `name="value",...`, or empty.
    void increment(const std::string &name, const std::string &labels = {}, std::uint64_t amount = 1);

    /// \brief Sets a gauge.
    void set(const std::string &name, const std::string &labels, double value);

    /// \brief Removes a gauge, for example of an endpoint that is gone.
    void removeGauge(const std::string &name, const std::string &labels);

    /// \brief Adds one observation to a distribution; the unit is part of the name, for example `_seconds`.
    void observe(const std::string &name, const std::string &labels, double value);

    /// \brief All metrics in the Prometheus text exposition format.
    [[nodiscard]] std::string exposition() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace mimosatally
