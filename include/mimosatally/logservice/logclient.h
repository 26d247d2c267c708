#pragma once

#include <mimosatally/Core>
#include <mimosatally/Http>

#include <boost/asio/awaitable.hpp>
#include <map>
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
///
/// Claims, leases and versions are ordered by offset, which assumes a log that never goes back. An append that gets an offset no greater than one that was
/// known before it was sent shows that the assumption does not hold; it is logged and fails.
class LogClient
{
public:
    LogClient(boost::asio::io_context &io, boost::asio::ip::tcp::endpoint server);

    /// \brief Appends payloads (JSON texts) to a stream in one request. \return the offset of each.
    /// \throws UnreachableError if no answer came in time; the records may still have been appended.
    /// ConnectError means that they were not. Also thrown if the log has gone back.
    boost::asio::awaitable<std::vector<Offset>> append(std::string stream, std::vector<std::string> payloads, Duration timeout);

    /// \brief Reads at most \a limit records, from offset \a from on. \throws UnreachableError
    boost::asio::awaitable<LogReadResult> read(std::string stream, Offset from, int limit, Duration timeout);

private:
    /// \brief Greatest offset that an answer has stated for a stream; -1 if none has.
    [[nodiscard]] Offset newestOffset(const std::string &stream) const;
    void recordOffset(const std::string &stream, Offset offset);
    void requireGrowth(const std::string &stream, Offset offset, Offset newestBefore) const;

    HttpClient client_;
    std::map<std::string, Offset> newest_;
};

} // namespace mimosatally
