#pragma once

#include <stdexcept>
#include <string>

namespace mimosatally
{

/// \brief Base class of the errors that this program throws itself.
class Error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// \brief A platform service or a peer could not be reached, or did not answer in time.
///
/// The action may nevertheless have taken effect.
class UnreachableError : public Error
{
public:
    using Error::Error;
};

/// \brief Input from outside does not have the expected form.
class MalformedInputError : public Error
{
public:
    using Error::Error;
};

} // namespace mimosatally
