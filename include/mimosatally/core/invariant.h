#pragma once

#include <source_location>
#include <stdexcept>
#include <string>

namespace mimosatally
{

/// \brief A condition that must always hold was false.
///
/// Continuing could break a guarantee, so a process logs the violation and exits.
class InvariantViolation : public std::logic_error
{
public:
    using std::logic_error::logic_error;
};

/// \brief Checks a condition that must always hold; stays on in production.
/// \throws InvariantViolation if \a condition is false.
inline void invariant(bool condition, const char *statement, std::source_location location = std::source_location::current())
{
    if (!condition) {
        throw InvariantViolation(std::string(location.file_name()) + ':' + std::to_string(location.line()) + ": " + statement);
    }
}

} // namespace mimosatally
