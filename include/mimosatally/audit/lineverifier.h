#pragma once

#include <mimosatally/Core>

#include <istream>
#include <memory>
#include <string>
#include <vector>

namespace mimosatally
{

/// \brief Result of verifying the log lines of gateways.
struct LineReport {
    std::size_t lines = 0;
    /// \brief Number of process starts.
    std::size_t processes = 0;
    std::size_t checkpoints = 0;
    /// \brief Number of dropped lines, as stated by the processes.
    std::size_t dropped = 0;
    /// \brief Number of calls by outcome.
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
    std::size_t callersDisconnected = 0;
    /// \brief Altered, missing or contradicting lines, with file and line.
    std::vector<Finding> findings;
    /// \brief Lines outside checked sections (before the first checkpoint if the process start is missing, or after the last checkpoint) and
    /// calls without an outcome.
    std::vector<Finding> openEnds;
};

/// \brief Checks the digests of gateways' log lines and the consistency of the decisions on each call.
///
/// Reports a section whose lines do not match the digest of its checkpoint, a call with two outcomes, a call refused as not run after an
/// attempt that may have run, and a call that may run only once but was retried after such an attempt.
class LineVerifier
{
public:
    /// \param fileName file name stated in findings.
    explicit LineVerifier(std::string fileName);
    ~LineVerifier();

    /// \brief Adds the next line of the file.
    void add(std::string_view line);

    [[nodiscard]] LineReport report() const;

    /// \brief Returns true if \a line has the format of a log line; records of the audit stream do not.
    [[nodiscard]] static bool isLogLine(std::string_view line);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace mimosatally
