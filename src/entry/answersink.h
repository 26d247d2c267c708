#pragma once

#include "answerrelay.h"
#include "mimosatally.capnp.h"

#include <mimosatally/Rpc>

namespace mimosatally::internal
{

/// \brief RPC capability through which an agent sends the answer of one attempt.
class AnswerSink final : public schema::AnswerSink::Server
{
public:
    AnswerSink(boost::asio::io_context &io, std::shared_ptr<AnswerRelay> relay, int attempt);

protected:
    kj::Promise<void> begin(BeginContext context) override;
    kj::Promise<void> chunk(ChunkContext context) override;

private:
    boost::asio::io_context &io_;
    std::shared_ptr<AnswerRelay> relay_;
    int attempt_;
};

} // namespace mimosatally::internal
