#pragma once

#include "mimosatally.capnp.h"

#include <mimosatally/Core>
#include <mimosatally/Rpc>

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace mimosatally::internal
{

/// \brief Sends one answer to its sink, each piece with its position; waits while the entry cannot take more.
class AnswerWriter
{
public:
    AnswerWriter(boost::asio::io_context &io, schema::AnswerSink::Client sink);

    /// \brief Sends status and content type. An entry that no longer takes the answer is found by the next write().
    boost::asio::awaitable<void> begin(unsigned status, std::string contentType);

    /// \throws DisconnectedError, Error if the entry no longer takes the answer.
    boost::asio::awaitable<void> write(std::string_view data);

private:
    boost::asio::io_context &io_;
    schema::AnswerSink::Client sink_;
    /// \brief The call of begin() until the first write() has waited for it.
    std::optional<kj::Promise<void>> beginning_;
    std::int64_t position_ = 0;
};

} // namespace mimosatally::internal
