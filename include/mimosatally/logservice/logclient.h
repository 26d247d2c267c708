#pragma once

#include <mimosatally/Core>
#include <mimosatally/Http>

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

namespace mimosatally
{

struct LogRecord {
    Offset offset;
    std::string payload;
};

/// \brief Result of one read.
struct LogReadResult {
    std::vector<LogRecord> records;
    /// \brief True if retention removed records between the requested offset and the first one returned.
    bool hasGap = false;
};

/// \brief Client of the platform's append-only log service, in the format of the Kafka REST proxy, version 1.
class LogClient
{
public:
    LogClient(boost::asio::io_context &io, boost::asio::ip::tcp::endpoint server);

    /// \brief Appends payloads (JSON texts) to a stream in one request. \return the offset of each.
    /// \throws UnreachableError if no answer came in time; the records may still have been appended.
    /// ConnectError means that they were not.
    boost::asio::awaitable<std::vector<Offset>> append(std::string stream, std::vector<std::string> payloads, Duration timeout);

    /// \brief Reads at most \a limit records, from offset \a from on. \throws UnreachableError
    boost::asio::awaitable<LogReadResult> read(std::string stream, Offset from, int limit, Duration timeout);

private:
    HttpClient client_;
};

} // namespace mimosatally
