#include <catch2/catch.hpp>

#include <platform/callcodec.h>
#include <platform/engineclient.h>
#include <platform/recordcodec.h>

using namespace mimosatally;
namespace http = boost::beast::http;

namespace
{
HttpRequest callerRequest()
{
    HttpRequest request = makeHttpRequest(http::verb::post, "/a/b?c=d", "application/json", "{}");
    request.set(http::field::host, "h.example");
    request.set("X-Mimosatally-Request-Id", "0123");
    request.set("X-Mimosatally-Request-Deadline", "1500");
    request.set("X-Mimosatally-Token-Counts", "1460,80");
    request.set("X-Mimosatally-Prefix-Hash", "5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
    return request;
}

std::string field(const platform::EndpointRequest &request, const char *name)
{
    return std::string(request[name]);
}
} // namespace

TEST_CASE("The fields that describe a call are decoded", "[platform]")
{
    const CallRequest call = platform::decodeCall(callerRequest());
    CHECK(call.id == RequestId("0123"));
    CHECK(call.path == "/a/b");
    CHECK(call.remainingTime == Duration(1500));
    CHECK(call.promptTokens == Tokens(1460));
    REQUIRE(call.promptParts.size() == 3);
    CHECK(call.promptParts[1].tokens == Tokens(410));
}

// Guards against a gateway that any caller can end with one field: a negative token count of the prompt made placement read through a null pointer.
TEST_CASE("Token counts that make no sense count as none", "[platform]")
{
    HttpRequest request = callerRequest();
    for (const char *counts : {"-1,50", "-9223372036854775808,1", "9223372036854775807,1", "1000000001,1", "1e9,1", "nan,1", "7", "", ",", "-"}) {
        CAPTURE(counts);
        request.set("X-Mimosatally-Token-Counts", counts);
        const CallRequest call = platform::decodeCall(request);
        CHECK(call.promptTokens == Tokens(0));
        CHECK(call.maxOutputTokens == Tokens(0));
    }
    request.set("X-Mimosatally-Token-Counts", "1000000000,-1");
    CHECK(platform::decodeCall(request).promptTokens == Tokens(1'000'000'000));
    CHECK(platform::decodeCall(request).maxOutputTokens == Tokens(0));
    for (const char *parts : {"a1:-1", "a1:9223372036854775807", "a1:1000000001,b2:1"}) {
        CAPTURE(parts);
        request.set("X-Mimosatally-Prefix-Hash", parts);
        CHECK(platform::decodeCall(request).promptParts.empty());
    }
}

TEST_CASE("A malformed deadline is an error, and malformed prompt parts count as none", "[platform]")
{
    HttpRequest request = callerRequest();
    request.set("X-Mimosatally-Prefix-Hash", "5c1e07a2:800,nonsense");
    CHECK(platform::decodeCall(request).promptParts.empty());
    request.set("X-Mimosatally-Request-Deadline", "soon");
    CHECK_THROWS_AS(platform::decodeCall(request), MalformedInputError);
}

// Guards against callers that set fields reserved to the gateway, and against request smuggling.
TEST_CASE("Reserved and hop-by-hop fields of a caller are not forwarded", "[platform]")
{
    HttpRequest request = callerRequest();
    for (const char *name : {"X-Mimosatally-Kv-Hold",
                             "X-Mimosatally-Pin-Ms",
                             "X-Mimosatally-Kv-Backup",
                             "X-Mimosatally-Kv-Source",
                             "X-Mimosatally-Serving-Stage",
                             "X-Mimosatally-Target-Instance",
                             "X-Mimosatally-Request-Priority",
                             "X-Mimosatally-Expected-Version",
                             "Keep-Alive",
                             "X-Hop"}) {
        request.set(name, "caller");
    }
    request.set(http::field::connection, "keep-alive, X-Hop");
    request.chunked(true);
    EndpointAttempt attempt;
    attempt.target = EndpointId("i-1");
    attempt.remainingTime = Duration(700);
    const platform::EndpointRequest sent = platform::encodeAttempt(request, attempt);
    for (const auto &entry : sent) {
        CHECK(entry.value() != "caller");
    }
    CHECK(field(sent, "X-Mimosatally-Target-Instance") == "i-1");
    CHECK(field(sent, "X-Mimosatally-Request-Deadline") == "700");
    CHECK(field(sent, "Content-Length") == "2");
    CHECK(field(sent, "Transfer-Encoding").empty());
    CHECK(field(sent, "X-Mimosatally-Request-Id") == "0123");
    CHECK(sent.target() == "/a/b?c=d");
}

TEST_CASE("A resumed stream names the last event that the caller has", "[platform]")
{
    HttpRequest request = callerRequest();
    request.set("Last-Event-Id", "3");
    EndpointAttempt attempt;
    CHECK(field(platform::encodeAttempt(request, attempt), "Last-Event-Id") == "3");
    attempt.resumeAfter = "12";
    CHECK(field(platform::encodeAttempt(request, attempt), "Last-Event-Id") == "12");
}

// Guards against reporting a call as not run without proof.
TEST_CASE("Only the field Not-Executed and status 421 prove that a call has not run", "[platform]")
{
    http::response_header<> header;
    header.result(503);
    CHECK_FALSE(platform::decodeAnswer(header).notExecuted);
    header.set("X-Mimosatally-Not-Executed", "1");
    CHECK(platform::decodeAnswer(header).notExecuted);
    http::response_header<> misdirected;
    misdirected.result(421);
    CHECK(platform::decodeAnswer(misdirected).notExecuted);
}

TEST_CASE("Load and keep-alive of an answer are decoded", "[platform]")
{
    http::response_header<> header;
    header.result(200);
    header.set("X-Mimosatally-Server-Load", "3,1,8");
    header.set("Keep-Alive", "timeout=5, max=100");
    const EndpointAnswer answer = platform::decodeAnswer(header);
    REQUIRE(answer.load);
    CHECK(answer.load->waiting == 1);
    CHECK(answer.keepAlive == Duration(5000));
    header.set("X-Mimosatally-Server-Load", "3,-1,8");
    CHECK_FALSE(platform::decodeAnswer(header).load);
}

TEST_CASE("A load report with the relative time of work on the machine is read", "[platform]")
{
    http::response_header<> header;
    header.result(200);
    header.set("X-Mimosatally-Server-Load", "3,1,8,250");
    const EndpointAnswer answer = platform::decodeAnswer(header);
    REQUIRE(answer.load);
    CHECK(answer.load->running == 3);
    CHECK(answer.load->relativeTime == 2.5);
    header.set("X-Mimosatally-Server-Load", "3,1,8");
    CHECK_FALSE(platform::decodeAnswer(header).load->relativeTime);
    header.set("X-Mimosatally-Server-Load", "3,1,8,0");
    CHECK(platform::decodeAnswer(header).load->relativeTime == 0.05);
    header.set("X-Mimosatally-Server-Load", "3,1,8,1000000");
    CHECK(platform::decodeAnswer(header).load->relativeTime == 100);
}

TEST_CASE("An unreadable load report is told from a missing one", "[platform]")
{
    http::response_header<> header;
    header.result(200);
    CHECK_FALSE(platform::decodeAnswer(header).loadUnreadable);
    for (const char *text : {"3,1", "3,1,8,100,5", "3,1,8,-1", "3,1,8,x", "3,1,8,", "3,1,8,1e9", "1000000001,1,8", "3,,8", ","}) {
        CAPTURE(text);
        header.set("X-Mimosatally-Server-Load", text);
        const EndpointAnswer answer = platform::decodeAnswer(header);
        CHECK_FALSE(answer.load);
        CHECK(answer.loadUnreadable);
    }
}

TEST_CASE("Server-Leaving and Retry-After of an answer are decoded", "[platform]")
{
    http::response_header<> header;
    header.result(200);
    CHECK_FALSE(platform::decodeAnswer(header).leaving);
    header.set("Server-Leaving", "1");
    header.set("Retry-After", "2");
    CHECK(platform::decodeAnswer(header).leaving);
    // Retry-After counts only with status 503: only an endpoint that rejects a call asks for a pause.
    CHECK_FALSE(platform::decodeAnswer(header).retryAfter);
    header.result(503);
    CHECK(platform::decodeAnswer(header).retryAfter == Duration(2000));
    header.set("Retry-After", "0.25");
    CHECK(platform::decodeAnswer(header).retryAfter == Duration(250));
    for (const char *bad : {"soon", "-1", "", "nan", "1e400"}) {
        header.set("Retry-After", bad);
        CHECK_FALSE(platform::decodeAnswer(header).retryAfter);
    }
    header.set("Server-Leaving", "0");
    CHECK_FALSE(platform::decodeAnswer(header).leaving);
}

// Guards against limits that are missed, or set by a value that is no number.
TEST_CASE("The request limit of an answer is decoded, and the lowest of several counts", "[platform]")
{
    http::response_header<> header;
    header.result(200);
    CHECK_FALSE(platform::decodeAnswer(header).requestLimit);
    for (const auto &[text, milli] : {std::pair("18.3", 18'300), std::pair("0", 0), std::pair(" 0.25", 250), std::pair("1e9", 1'000'000'000)}) {
        header.set("Server-Limit", text);
        CHECK(platform::decodeAnswer(header).requestLimit == RequestRate(milli));
        CHECK_FALSE(platform::decodeAnswer(header).requestLimitUnreadable);
    }
    for (const char *bad : {"many", "-1", "", "nan", "inf", "1e400", "5 per s", "5,6"}) {
        header.set("Server-Limit", bad);
        CHECK_FALSE(platform::decodeAnswer(header).requestLimit);
        CHECK(platform::decodeAnswer(header).requestLimitUnreadable);
    }
    header.insert("Server-Limit", "20");
    header.insert("Server-Limit", "10");
    CHECK(platform::decodeAnswer(header).requestLimit == RequestRate(10'000));
}

// Guards against heartbeats from untrusted writers.
TEST_CASE("A forged or malformed heartbeat is rejected", "[platform]")
{
    const std::string good = R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,"state":"ready","phase":"decode","born":5})";
    const EndpointRecord record = platform::decodeEndpoint("i-1", good);
    CHECK(record.phase == EnginePhase::Decode);
    CHECK(record.startedAt == 5);
    for (const char *bad : {"not json",
                            "[]",
                            R"({"service":"s"})",
                            R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,"state":"sleeping"})",
                            R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":"8","state":"ready"})",
                            R"({"service":7,"address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,"state":"ready"})",
                            R"({"service":"s","address":"nowhere","zone":"z","version":"v1","slots":8,"state":"ready"})",
                            R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,"state":"ready","born":1.5})",
                            R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,"state":"ready","phase":"odd"})"}) {
        CHECK_THROWS_AS(platform::decodeEndpoint("i-1", bad), MalformedInputError);
    }
}

TEST_CASE("A configuration is decoded with the retry policies of its routes", "[platform]")
{
    const ServingConfiguration configuration = platform::decodeConfiguration(R"({"version":7,"routes":[
{"name":"a","host":"h","pathPrefix":"/a/","kind":"streaming","timeoutMs":2000,"targetLatencyMs":250,"priority":0,"service":"s","maxAttempts":2,"resumable":true},
{"name":"b","host":"h","pathPrefix":"/b/","kind":"unsafe","timeoutMs":1000,"targetLatencyMs":200,"trafficSplit":[{"service":"s","weight":9},{"service":"t","weight":1}]},
{"name":"c","host":"h","pathPrefix":"/c/","kind":"safe","service":"t"}],
"services":[{"name":"s","maxConns":610,"engine":{"slots":128,"kvCacheTokens":100,"linkMbps":10,"handleTtlS":5.0}},{"name":"t","maxConns":9}],
"limits":{"maxHeaderBytes":100}})");
    CHECK(configuration.version == 7);
    CHECK(configuration.routes[0].retryPolicy == RetryPolicy::Idempotent);
    CHECK(configuration.routes[0].form == AnswerForm::Events);
    CHECK(configuration.routes[1].retryPolicy == RetryPolicy::AtMostOnce);
    CHECK(configuration.routes[1].services.size() == 2);
    CHECK(configuration.routes[2].retryPolicy == RetryPolicy::Idempotent);
    CHECK(configuration.services.at(ServiceId("s")).engine->handleLifetime == Duration(5000));
    CHECK_FALSE(configuration.services.at(ServiceId("t")).engine);
    CHECK(configuration.limits.maxHeaderBytes == 100);
    CHECK_THROWS_AS(platform::decodeConfiguration(R"({"version":"x"})"), MalformedInputError);
}

TEST_CASE("A report and the answers to orders are decoded", "[platform]")
{
    const HttpResponse response = makeHttpResponse(200, "application/json", R"({"phase":"decode","busy":false,"seqNum":2})");
    const platform::EngineReport report = platform::decodeReport(response);
    CHECK(report.phase == EnginePhase::Decode);
    CHECK(report.ordersAccepted == 2);
    CHECK(platform::decodeOrderAnswer(makeHttpResponse(412, "", "")) == platform::OrderAnswer::Fenced);
    CHECK(platform::decodeOrderAnswer(makeHttpResponse(202, "", "")) == platform::OrderAnswer::Accepted);
}

// Guards against an answer of another process that counts as one of the addressed endpoint.
TEST_CASE("The answer to a report request tells which process gave it", "[platform]")
{
    const EndpointId target("i-1");
    const HttpRequest request = platform::reportRequest(target);
    CHECK(request.target() == "/-/report");
    CHECK(headerValue(request, "X-Mimosatally-Target-Instance") == "i-1");
    const auto evidenceOf = [&target](unsigned status, const std::string &body, const std::string &id = {}) {
        HttpResponse response = makeHttpResponse(status, "application/json", body);
        if (!id.empty()) {
            response.set("X-Mimosatally-Instance-Id", id);
        }
        return platform::decodeProcessEvidence(response, target);
    };
    CHECK(evidenceOf(200, R"({"phase":"decode","born":7})").startedAt == 7);
    CHECK_FALSE(evidenceOf(200, R"({"phase":"decode"})").startedAt);
    CHECK_FALSE(evidenceOf(200, R"({"born":"7"})").startedAt);
    CHECK_FALSE(evidenceOf(404, "not found", "i-1").isOther);
    CHECK_FALSE(evidenceOf(503, "").isOther);
    CHECK(evidenceOf(421, "").isOther);
    CHECK(evidenceOf(200, "{}", "i-2").isOther);
}

// Guards against a prefill of a prefix that another engine has cached, and against callers that set the cache source themselves.
TEST_CASE("A prefill names the engine from which the cached prefix is fetched", "[platform]")
{
    HttpRequest request = callerRequest();
    request.set("Kv-Fetch", "10.9.9.9:1");
    EndpointAttempt attempt;
    CHECK(field(platform::encodeAttempt(request, attempt), "Kv-Fetch").empty());
    attempt.cacheSource = boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("10.0.0.7"), 80);
    CHECK(field(platform::encodeAttempt(request, attempt), "Kv-Fetch") == "10.0.0.7:80");
}

// Guards against an odd entry of another writer that ends the process or becomes an endpoint: nested deeply, numbers out of range, ports out of range,
// invalid text. Each is an error of its own, so the entries beside it stay in use.
TEST_CASE("An odd heartbeat is rejected with a short error", "[platform]")
{
    const auto heartbeat = [](const std::string &address, const std::string &slots, const std::string &extra = {}) {
        return R"({"service":"s","address":")" + address + R"(","zone":"z","version":"v1","state":"ready","slots":)" + slots + extra + "}";
    };
    const std::string good = "10.0.0.1:80";
    CHECK(platform::decodeEndpoint("i-1", heartbeat(good, "8")).slots == 8);
    constexpr std::size_t depth = 100'000;
    const std::string nested = R"(,"deep":)" + std::string(depth, '[') + std::string(depth, ']');
    CHECK(platform::decodeEndpoint("i-1", heartbeat(good, "8", nested)).slots == 8);
    CHECK(platform::decodeEndpoint("i-1", heartbeat(good, "8", R"(,"slots":9)")).slots == 9);
    std::vector<std::string> odd = {heartbeat(good, std::string(depth, '[')), heartbeat(good, "8", ",\"x\":\"\xff\xfe\""), "", std::string(depth, '[')};
    for (const char *slots :
         {"0", "-1", "8.5", "1e3", "1e300", "1e999", "4294967304", "18446744073709551624", "99999999999999999999", "\"8\"", "null", "[8]"}) {
        odd.push_back(heartbeat(good, slots));
    }
    for (const char *port : {"0", "-1", "65536", "1e3", "", "port", "80x", " 80"}) {
        odd.push_back(heartbeat("10.0.0.1:" + std::string(port), "8"));
    }
    for (const char *born : {"1.5", "1e3", "-5", "18446744073709551615", "99999999999999999999", "\"5\""}) {
        odd.push_back(heartbeat(good, "8", R"(,"born":)" + std::string(born)));
    }
    odd.push_back(heartbeat(std::string(depth, 'x'), "8"));
    odd.push_back(heartbeat(good, "8", R"(,"phase":")" + std::string(depth, 'x') + '"'));
    for (const std::string &text : odd) {
        CAPTURE(text.substr(0, 120));
        constexpr std::size_t maxErrorBytes = 400;
        try {
            platform::decodeEndpoint("i-1", text);
            FAIL_CHECK("the heartbeat was accepted");
        } catch (const MalformedInputError &error) {
            CHECK(std::string(error.what()).size() <= maxErrorBytes);
        }
    }
}
