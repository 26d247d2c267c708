#include <catch2/catch.hpp>

#include "agent/usagemeter.h"

using namespace mimosatally;
using mimosatally::internal::UsageMeter;

namespace
{
const std::string EVENTS = "data: {\"text\":\"a\"}\n\ndata: {\"text\":\"b\"}\n\n";
const std::string USAGE = "data: {\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":2,\"prompt_tokens_details\":{\"cached_tokens\":3}}}\n\n";
const std::string END = "data: [DONE]\n\n";

TokenUsage measure(const std::string &answer, std::size_t pieceBytes)
{
    UsageMeter meter;
    for (std::size_t start = 0; start < answer.size(); start += pieceBytes) {
        meter.add(std::string_view(answer).substr(start, pieceBytes));
    }
    CHECK(meter.bytes() == Bytes(static_cast<std::int64_t>(answer.size())));
    return meter.usage(Tokens(100));
}
} // namespace

// Guards against wrong counts of a customer's service if an event is split between network reads.
TEST_CASE("The usage of an answer does not depend on how it is cut into pieces", "[agent]")
{
    const std::string filler(10000, 'x');
    const std::string longAnswer = "data: {\"text\":\"" + filler + "\"}\n\n" + USAGE + END;
    for (const std::size_t pieceBytes : {1U, 3U, 50U, 100000U}) {
        CHECK(measure(EVENTS + USAGE + END, pieceBytes) == TokenUsage {Tokens(7), Tokens(2)});
        CHECK(measure(longAnswer, pieceBytes) == TokenUsage {Tokens(7), Tokens(2)});
        CHECK(measure(EVENTS + END, pieceBytes) == TokenUsage {Tokens(100), Tokens(2)});
        CHECK(measure(EVENTS, pieceBytes) == TokenUsage {Tokens(100), Tokens(2)});
        CHECK(measure(R"({"choices":[],"usage":{"completion_tokens":5,"prompt_tokens":4,"total_tokens":9}})", pieceBytes) == TokenUsage {Tokens(4), Tokens(5)});
    }
}

// Guards against wrong or hostile answers of an engine ending the agent or counting negative tokens.
TEST_CASE("A malformed usage is ignored", "[agent]")
{
    for (const char *usage : {R"("usage":{"prompt_tokens":-1,"completion_tokens":2})", R"("usage":{"prompt_tokens":"a")", R"("usage":}{)", R"("usage":null)"}) {
        CHECK(measure(std::string("data: {") + usage + "}\n\n", 1000) == TokenUsage {Tokens(100), Tokens(1)});
    }
}
