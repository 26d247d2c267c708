#include "gateway/requesthash.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using internal::requestHash;

namespace
{
HttpRequest request(const std::string &id)
{
    HttpRequest result = makeHttpRequest(boost::beast::http::verb::post, "/safe/x?q=1", "text/plain", "body");
    result.set(boost::beast::http::field::host, "h.example");
    result.set(boost::beast::http::field::authorization, "Bearer a");
    result.set("X-Mimosatally-Request-Id", id);
    return result;
}
} // namespace

// Guards against a request that is not recognised when its caller sends it again with another id and deadline, and against one caller's request that is
// refused because of another's.
TEST_CASE("The hash of a request is the same for each attempt and differs by caller, path, query, prompt and body", "[crash]")
{
    HttpRequest again = request("r2");
    again.set("X-Mimosatally-Request-Deadline", "900");
    const std::vector<PromptPart> prompt = {{1, Tokens(5)}, {2, Tokens(6)}};
    CHECK(requestHash(request("r1"), prompt) == requestHash(again, prompt));
    std::vector<PromptPart> otherPrompt = prompt;
    HttpRequest other = request("r1");
    SECTION("caller")
    {
        other.set(boost::beast::http::field::authorization, "Bearer b");
    }
    SECTION("query")
    {
        other.target("/safe/x?q=2");
    }
    SECTION("host")
    {
        other.set(boost::beast::http::field::host, "other.example");
    }
    SECTION("body")
    {
        other.body() = "body2";
    }
    SECTION("border between target and body")
    {
        other.target("/safe/x?q=1b");
        other.body() = "ody";
    }
    SECTION("last part of the prompt")
    {
        otherPrompt.back().id = 3;
    }
    SECTION("method")
    {
        other.method(boost::beast::http::verb::put);
    }
    CHECK(requestHash(request("r1"), prompt) != requestHash(other, otherPrompt));
}
