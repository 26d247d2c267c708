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
    /// \brief Starts of processes.
    std::size_t processes = 0;
    std::size_t checkpoints = 0;
    /// \brief Lines that the processes dropped, as they state themselves.
    std::size_t dropped = 0;
    /// \brief Calls by how they ended.
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
    std::size_t callersGone = 0;
    /// \brief Altered, missing or contradicting lines, with file and line.
    std::vector<Finding> findings;
    /// \brief Lines after the last checkpoint of a process, and calls without an end: nothing is known of what follows.
    std::vector<Finding> openEnds;
};

/// \brief Checks the lines that gateways wrote: their digests, and that the decisions on each call fit together.
///
/// Findings are a section whose lines do not lead to the digest of its checkpoint, a call with two ends, a call refused as not run
/// after an attempt that may have run, and a call that may run once only and was tried again after such an attempt.
class LineVerifier
{
public:
    /// \param fileName names the file in findings.
    explicit LineVerifier(std::string fileName);
    ~LineVerifier();

    /// \brief Adds the next line of the file.
    void add(std::string_view line);

    [[nodiscard]] LineReport report() const;

    /// \brief Whether a line has the form of a log line; records of the audit stream have not.
    [[nodiscard]] static bool isLogLine(std::string_view line);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace mimosatally
