#include <mimosatally/Core>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <sstream>

namespace mimosatally
{

namespace
{
namespace acc = boost::accumulators;

constexpr std::array<double, 3> QUANTILES = {0.5, 0.95, 0.99};

using Distribution = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

struct Series {
    std::string name;
    std::string labels;

    auto operator<=>(const Series &) const = default;
};

std::string joinLabels(const std::string &labels, const std::string &extra)
{
    return labels.empty() ? extra : labels + ',' + extra;
}

void writeSample(std::ostream &out, const std::string &name, const std::string &labels, double value)
{
    out << name;
    if (!labels.empty()) {
        out << '{' << labels << '}';
    }
    out << ' ' << value << '\n';
}
} // namespace

struct Metrics::Impl {
    std::map<Series, double> counters;
    std::map<Series, double> gauges;
    std::map<Series, Distribution> distributions;
};

Metrics::Metrics()
    : impl_(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;
Metrics::Metrics(Metrics &&) noexcept = default;
Metrics &Metrics::operator=(Metrics &&) noexcept = default;

void Metrics::increment(const std::string &name, const std::string &labels, std::uint64_t amount)
{
    impl_->counters[{name, labels}] += static_cast<double>(amount);
}

void Metrics::set(const std::string &name, const std::string &labels, double value)
{
    impl_->gauges[{name, labels}] = value;
}

void Metrics::removeGauge(const std::string &name, const std::string &labels)
{
    impl_->gauges.erase({name, labels});
}

void Metrics::observe(const std::string &name, const std::string &labels, double value)
{
    auto found = impl_->distributions.find({name, labels});
    if (found == impl_->distributions.end()) {
        found = impl_->distributions.emplace(Series {name, labels}, Distribution(acc::tag::extended_p_square::probabilities = QUANTILES)).first;
    }
    found->second(value);
}

std::string Metrics::exposition() const
{
    std::ostringstream out;
    out.precision(15);
    for (const auto &[series, value] : impl_->counters) {
        writeSample(out, series.name, series.labels, value);
    }
    for (const auto &[series, value] : impl_->gauges) {
        writeSample(out, series.name, series.labels, value);
    }
    for (const auto &[series, distribution] : impl_->distributions) {
        const auto estimates = acc::extended_p_square(distribution);
        for (std::size_t i = 0; i < QUANTILES.size(); ++i) {
            std::ostringstream quantile;
            quantile << "quantile=\"" << QUANTILES[i] << '"';
            writeSample(out, series.name, joinLabels(series.labels, quantile.str()), estimates[static_cast<std::ptrdiff_t>(i)]);
        }
        writeSample(out, series.name + "_sum", series.labels, acc::sum(distribution));
        writeSample(out, series.name + "_count", series.labels, static_cast<double>(acc::count(distribution)));
    }
    return out.str();
}

} // namespace mimosatally
