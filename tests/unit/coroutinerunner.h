#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>

namespace mimosatally::test
{

/// \brief Runs a coroutine to its end on \a io. An exception of the coroutine is rethrown.
template<class Body>
void runCoroutine(boost::asio::io_context &io, Body body)
{
    std::exception_ptr failure;
    boost::asio::co_spawn(io, std::move(body), [&](std::exception_ptr error) {
        failure = error;
        io.stop();
    });
    io.run();
    if (failure) {
        std::rethrow_exception(failure);
    }
}

} // namespace mimosatally::test
