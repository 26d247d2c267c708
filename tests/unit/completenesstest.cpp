#include <catch2/catch.hpp>

#include <mimosatally/Http>

using namespace mimosatally;

// Guards against a second opinion on completeness at one of the readers: this is the whole rule.
TEST_CASE("An answer is whole only if its framing, its content or a living peer shows it", "[completeness]")
{
    using enum BodyEnd;
    const auto content = GENERATE(ContentEnd::Opaque, ContentEnd::Reached, ContentEnd::BetweenEvents, ContentEnd::BeforeFirstEvent);
    for (const BodyFraming framing : {BodyFraming::NoBody, BodyFraming::Length, BodyFraming::Chunked}) {
        CHECK(completenessOf(framing, Framing, content) == Completeness::Whole);
        CHECK(completenessOf(framing, Framing, ContentEnd::Within) == Completeness::CutOff);
        for (const BodyEnd end : {NotReached, ConnectionClosed, ConnectionReset, Stopped, Failed}) {
            CHECK(completenessOf(framing, end, content) == Completeness::CutOff);
        }
    }
    for (const BodyEnd end : {NotReached, ConnectionReset, Stopped, Failed}) {
        CHECK(completenessOf(BodyFraming::ConnectionEnd, end, content) == Completeness::CutOff);
    }
    CHECK(completenessOf(BodyFraming::ConnectionEnd, ConnectionClosed, ContentEnd::Within) == Completeness::CutOff);
    CHECK(completenessOf(BodyFraming::ConnectionEnd, ConnectionClosed, ContentEnd::BeforeFirstEvent) == Completeness::CutOff);
    CHECK(completenessOf(BodyFraming::ConnectionEnd, ConnectionClosed, ContentEnd::Reached) == Completeness::Whole);
    CHECK(completenessOf(BodyFraming::ConnectionEnd, ConnectionClosed, ContentEnd::BetweenEvents) == Completeness::Unproven);
    CHECK(completenessOf(BodyFraming::ConnectionEnd, ConnectionClosed, ContentEnd::Opaque) == Completeness::Unproven);
}

// Guards against a stream that is judged by the place at which its bytes happen to be cut into reads.
TEST_CASE("Events are found at the same places however the stream is cut into reads", "[events]")
{
    const auto lineEnd = GENERATE(as<std::string>(), "\n", "\r\n", "\r");
    const std::string stream =
        ": hello" + lineEnd + lineEnd + "id: 1" + lineEnd + "data: a" + lineEnd + lineEnd + "id: 2" + lineEnd + "data: b" + lineEnd + lineEnd;
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        EventFramer framer;
        framer.append(stream.substr(0, cut));
        std::string taken = framer.takeCompleteEvents();
        framer.append(stream.substr(cut));
        taken += framer.takeCompleteEvents();
        CHECK(taken == stream);
        CHECK(framer.takenEvents() == 2);
        CHECK(framer.lastEventId() == "2");
        CHECK(framer.contentEnd() == ContentEnd::BetweenEvents);
    }
}

// Guards against a partial event that counts as the end of a stream, and against a whole stream that counts as partial.
TEST_CASE("The end of a stream of events is judged by its last lines", "[events]")
{
    const auto contentEndOf = [](const std::string &stream) {
        EventFramer framer;
        framer.append(stream);
        framer.takeCompleteEvents();
        return framer.contentEnd();
    };
    CHECK(contentEndOf("") == ContentEnd::BeforeFirstEvent);
    CHECK(contentEndOf(": comment\n\n") == ContentEnd::BeforeFirstEvent);
    CHECK(contentEndOf("data: a") == ContentEnd::Within);
    CHECK(contentEndOf("data: a\n") == ContentEnd::Within);
    CHECK(contentEndOf("data: a\r\n\r") == ContentEnd::BetweenEvents);
    CHECK(contentEndOf("data: a\n\nd") == ContentEnd::Within);
    CHECK(contentEndOf("data: a\n\n: comment\n") == ContentEnd::BetweenEvents);
    CHECK(contentEndOf("data: a\n\n: comment") == ContentEnd::Within);
    CHECK(contentEndOf("data: a\n\n: comment\n\n") == ContentEnd::BetweenEvents);
    CHECK(contentEndOf("data: a\n\ndata: [DONE]\n\n") == ContentEnd::Reached);
    CHECK(contentEndOf("data: a\n\ndata: [DONE]\n") == ContentEnd::Within);
    CHECK(contentEndOf("data: [DONE]\n\ndata: a\n\n") == ContentEnd::BetweenEvents);
}

// Guards against joining the output of two runs: an endpoint that does not continue the stream starts it again.
TEST_CASE("A continued stream that begins with an event that was delivered is recognised", "[events]")
{
    EventFramer framer;
    framer.append("id: 7\ndata: a\n\nid: 8\nda");
    CHECK(framer.takeCompleteEvents() == "id: 7\ndata: a\n\n");
    framer.resumeAfterCut();
    SECTION("an id again")
    {
        framer.append("id: 7\ndata: a\n\n");
        CHECK(framer.takeCompleteEvents().empty());
        CHECK(framer.repeatsEvents());
        CHECK(framer.lastEventId() == "7");
    }
    SECTION("no id")
    {
        framer.append("data: x\n\n");
        CHECK(framer.takeCompleteEvents().empty());
        CHECK(framer.repeatsEvents());
    }
    SECTION("the end mark")
    {
        framer.append("data: [DONE]\n\n");
        CHECK(framer.takeCompleteEvents() == "data: [DONE]\n\n");
        CHECK_FALSE(framer.repeatsEvents());
    }
    SECTION("an earlier id")
    {
        framer.append("id: 1\ndata: x\n\nid: 8\ndata: y\n\n");
        CHECK(framer.takeCompleteEvents().empty());
        CHECK(framer.repeatsEvents());
    }
    SECTION("the next id")
    {
        framer.append("id: 8\ndata: b\n\n");
        CHECK(framer.takeCompleteEvents() == "id: 8\ndata: b\n\n");
        CHECK_FALSE(framer.repeatsEvents());
    }
}

// Guards against an event that a caller gets twice: it has no id, or one that an earlier event had, so an endpoint that continues the stream after the last id
// writes it again.
TEST_CASE("A stream whose last event is not named by an id of its own cannot be continued", "[events]")
{
    const auto [events, resumable] = GENERATE(table<std::string, bool>({{"id: 1\ndata: a\n\n", true},
                                                                        {"data: a\n\n", false},
                                                                        {"id: 1\ndata: a\n\ndata: b\n\n", false},
                                                                        {"data: a\n\nid: 2\ndata: b\n\n", true},
                                                                        {"id: 1\ndata: a\n\nid: 1\ndata: b\n\n", false},
                                                                        {"id: 2\ndata: a\n\nid: 1\ndata: b\n\nid: 3\ndata: c\n\n", false},
                                                                        {"id: a\ndata: a\n\nid: b\ndata: b\n\n", true},
                                                                        {"id: 7\ndata: a\n\nid:\ndata: b\n\n", false}}));
    CAPTURE(events);
    EventFramer framer;
    framer.append(events);
    framer.takeCompleteEvents();
    CHECK(framer.isResumable() == resumable);
}

// Guards against a resumed stream in which an event is missing or comes twice: several events arrive in one read, the stream is cut at each of its bytes, and
// the next endpoint goes on after the last event that was taken.
TEST_CASE("A stream of several events that is cut at any byte and continued holds each event once", "[events]")
{
    const auto lineEnd = GENERATE(as<std::string>(), "\n", "\r\n", "\r");
    constexpr int count = 4;
    const auto eventsFrom = [&lineEnd](int first) {
        std::string text;
        for (int id = first; id <= count; ++id) {
            text += "id: " + std::to_string(id) + lineEnd + "data: part " + std::to_string(id) + lineEnd + lineEnd;
        }
        return text;
    };
    const std::string stream = eventsFrom(1);
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        for (std::size_t secondCut = 0; secondCut <= 1; ++secondCut) {
            EventFramer framer;
            framer.append(stream.substr(0, cut));
            std::string taken = framer.takeCompleteEvents();
            const auto lastTaken = [&framer] {
                return framer.lastEventId().empty() ? 0 : std::stoi(framer.lastEventId());
            };
            framer.resumeAfterCut();
            if (secondCut == 1) {
                // The continued stream breaks off within its first event.
                framer.append(eventsFrom(lastTaken() + 1).substr(0, 9));
                taken += framer.takeCompleteEvents();
                framer.resumeAfterCut();
            }
            framer.append(eventsFrom(lastTaken() + 1));
            taken += framer.takeCompleteEvents();
            CAPTURE(cut, secondCut);
            CHECK_FALSE(framer.repeatsEvents());
            CHECK(lastTaken() == count);
            // An event that ends with CR is complete, so the LF that was to follow is lost with the first part.
            const bool losesLineFeed = stream.substr(0, cut).ends_with("\r\n\r") && cut < stream.size();
            CHECK(taken == (losesLineFeed ? stream.substr(0, cut) + stream.substr(cut + 1) : stream));
        }
    }
}
