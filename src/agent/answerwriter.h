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

/// \brief Sends one answer to its sink in chunks with their byte positions; a write waits while the entry cannot accept more.
class AnswerWriter
{
public:
    AnswerWriter(boost::asio::io_context &io, schema::AnswerSink::Client sink);

    /// \brief Sends status and content type. If the entry no longer accepts the answer, the next write() throws.
    boost::asio::awaitable<void> begin(unsigned status, std::string contentType);

    /// \throws DisconnectedError, Error if the entry no longer accepts the answer.
    boost::asio::awaitable<void> write(std::string_view data);

private:
    boost::asio::io_context &io_;
    schema::AnswerSink::Client sink_;
    /// \brief Pending call of begin(); the first write() waits for it.
    std::optional<kj::Promise<void>> pendingBegin_;
    std::int64_t position_ = 0;
};

} // namespace mimosatally::internal
