#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <kj/async.h>
#include <kj/exception.h>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

#include <mimosatally/core/error.h>
#include <mimosatally/core/invariant.h>
#include <mimosatally/core/milliclock.h>

namespace mimosatally
{

/// \brief An RPC failed because the peer disconnected.
class DisconnectedError : public UnreachableError
{
public:
    using UnreachableError::UnreachableError;
};

/// \brief An RPC did not complete within its timeout; it may have taken effect.
class RpcTimeoutError : public UnreachableError
{
public:
    using UnreachableError::UnreachableError;
};

namespace internal
{

std::exception_ptr toExceptionPtr(const kj::Exception &exception);
kj::Exception toKjException(const std::exception_ptr &exception);

struct Unit {
};

template<class T>
using ValueOrUnit = std::conditional_t<std::is_void_v<T>, Unit, T>;

/// \brief Completion of a kj promise that a coroutine waits for.
template<class T>
struct PromiseCompletion {
    explicit PromiseCompletion(boost::asio::io_context &io)
        : signal(io, boost::asio::steady_timer::time_point::max())
    {
    }

    void finish()
    {
        done = true;
        signal.cancel();
    }

    boost::asio::steady_timer signal;
    bool done = false;
    std::optional<ValueOrUnit<T>> value;
    std::exception_ptr error;
};

} // namespace internal

/// \brief Waits in a coroutine for a kj promise. Destroying the coroutine, or a timeout, cancels the promise.
/// \param timeout std::nullopt means no limit.
/// \throws DisconnectedError, RpcTimeoutError, Error
template<class T>
boost::asio::awaitable<T> awaitPromise(boost::asio::io_context &io, kj::Promise<T> promise, std::optional<Duration> timeout = std::nullopt)
{
    const auto completion = std::make_shared<internal::PromiseCompletion<T>>(io);
    const auto fail = [completion](kj::Exception &&exception) {
        completion->error = internal::toExceptionPtr(exception);
        completion->finish();
    };
    kj::Promise<void> task = nullptr;
    if constexpr (std::is_void_v<T>) {
        task = promise.then(
            [completion] {
                completion->value.emplace();
                completion->finish();
            },
            fail);
    } else {
        task = promise.then(
            [completion](T &&value) {
                completion->value.emplace(std::move(value));
                completion->finish();
            },
            fail);
    }
    const kj::Promise<void> running = task.eagerlyEvaluate(nullptr);
    if (timeout) {
        completion->signal.expires_after(*timeout);
    }
    if (!completion->done) {
        boost::system::error_code ignored;
        co_await completion->signal.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    if (!completion->done) {
        throw RpcTimeoutError("the peer did not answer in time");
    }
    if (completion->error) {
        std::rethrow_exception(completion->error);
    }
    if constexpr (!std::is_void_v<T>) {
        std::optional<internal::ValueOrUnit<T>> value = std::move(completion->value);
        if (!value) {
            throw InvariantViolation("a completion has a value or an error");
        }
        co_return std::move(*value);
    }
}

/// \brief Runs a coroutine and returns its completion as a kj promise. Dropping the promise does not stop the coroutine.
template<class Coroutine>
kj::Promise<void> toPromise(boost::asio::io_context &io, Coroutine coroutine)
{
    auto paf = kj::newPromiseAndFulfiller<void>();
    const auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(paf.fulfiller));
    boost::asio::co_spawn(io, std::move(coroutine), [fulfiller](std::exception_ptr error) {
        if (error) {
            (*fulfiller)->reject(internal::toKjException(error));
        } else {
            (*fulfiller)->fulfill();
        }
    });
    return kj::mv(paf.promise);
}

} // namespace mimosatally
