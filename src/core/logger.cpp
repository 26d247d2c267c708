#include <mimosatally/Core>

#include <algorithm>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/make_shared.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace mimosatally
{

namespace
{
std::string processName;
LogLevel minimumLevel = LogLevel::Warning;

boost::log::sources::logger &source()
{
    static boost::log::sources::logger logger;
    return logger;
}

std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "error";
}

/// \brief Boost.Log backend that writes to the bounded output.
class BoundedBackend : public boost::log::sinks::basic_formatted_sink_backend<char>
{
public:
    void consume(const boost::log::record_view &, const string_type &line)
    {
        const bool written = output().write(line);
        if (!written) {
            return;
        }
        if (writingCheckpoint) {
            chain().beginSection(chain().digest());
        } else {
            chain().add(line);
        }
    }

    static BoundedOutput &output()
    {
        static BoundedOutput bounded(STDOUT_FILENO);
        return bounded;
    }

    static LineChain &chain()
    {
        static LineChain lines;
        return lines;
    }

    /// \brief Set while a checkpoint is written: the next section begins with its digest, so its line is not added to the chain.
    static inline bool writingCheckpoint = false;
};

bool needsQuotes(const std::string &value)
{
    return value.empty() || std::ranges::any_of(value, [](unsigned char c) {
               return c <= ' ' || c == '"' || c == '=' || c >= 0x7f;
           });
}

std::string quoted(const std::string &value)
{
    if (!needsQuotes(value)) {
        return value;
    }
    return nlohmann::json(value).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}
} // namespace

void startBoundedLogging(std::string process, LogLevel minimum)
{
    processName = std::move(process);
    minimumLevel = minimum;
    boost::log::add_common_attributes();
    namespace expressions = boost::log::expressions;
    using Sink = boost::log::sinks::synchronous_sink<BoundedBackend>;
    auto sink = boost::make_shared<Sink>(boost::make_shared<BoundedBackend>());
    sink->set_formatter(expressions::stream << expressions::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%f") << ' '
                                            << expressions::smessage);
    boost::log::core::get()->add_sink(sink);
}

void flushLog()
{
    BoundedBackend::output().flush();
}

void logCheckpoint()
{
    const LineChain &chain = BoundedBackend::chain();
    if (chain.lines() == 0) {
        return;
    }
    BoundedBackend::writingCheckpoint = true;
    logEvent(LogEvent::LogCheckpoint, {{"lines", chain.lines()}, {"digest", chain.digest()}});
    BoundedBackend::writingCheckpoint = false;
}

std::uint64_t droppedLogLines()
{
    return BoundedBackend::output().droppedLines();
}

void startLogging(std::string process, LogLevel minimum)
{
    processName = std::move(process);
    minimumLevel = minimum;
    boost::log::add_common_attributes();
    namespace expressions = boost::log::expressions;
    boost::log::add_console_log(std::clog,
                                boost::log::keywords::format = expressions::stream
                                                               << expressions::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                                                               << ' ' << expressions::smessage,
                                boost::log::keywords::auto_flush = true);
}

void logEvent(LogEvent event, std::initializer_list<LogField> fields)
{
    const LogEventDescription &description = describe(event);
    if (description.level < minimumLevel) {
        return;
    }
    std::string line = std::string(levelName(description.level)) + " MT" + std::to_string(description.number) + ' ' + std::string(description.name);
    if (!processName.empty()) {
        line += " process=" + processName;
    }
    for (const LogField &field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        line += quoted(field.value);
    }
    BOOST_LOG(source()) << line;
}

} // namespace mimosatally
