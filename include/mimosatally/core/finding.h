#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace mimosatally
{

/// \brief Location of a finding in a settings file or record; line 0 means that the line is unknown.
struct SourceLocation {
    std::string file;
    int line = 0;
};

/// \brief One problem found in input.
struct Finding {
    SourceLocation location;
    std::string message;
};

/// \brief Formats as `file:line: message`.
std::string toString(const Finding &finding);

/// \brief Collects findings, so that all of them can be reported together.
class Findings
{
public:
    void add(SourceLocation location, std::string message);

    [[nodiscard]] bool empty() const;
    [[nodiscard]] const std::vector<Finding> &all() const;

    /// \throws FindingsError if there is at least one finding.
    void throwIfAny() const;

private:
    std::vector<Finding> findings_;
};

/// \brief Error that carries all findings about one input.
class FindingsError : public std::runtime_error
{
public:
    explicit FindingsError(std::vector<Finding> findings);

    [[nodiscard]] const std::vector<Finding> &findings() const;

private:
    std::vector<Finding> findings_;
};

} // namespace mimosatally
