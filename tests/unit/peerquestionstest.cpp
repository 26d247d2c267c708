#include <mimosatally/Membership>

#include <catch2/catch.hpp>

using namespace mimosatally;

// Guards against a silent peer that is asked again and again while the others are not asked.
TEST_CASE("A peer that has not answered holds up no question to another one", "[peerquestions]")
{
    const std::vector<std::string> peers = {"a", "b", "c"};
    PeerQuestions questions;
    CHECK(questions.begin(peers, "b") == "a");
    CHECK(questions.begin(peers, "b") == "c");
    CHECK_FALSE(questions.begin(peers, "b"));
    questions.end("c");
    CHECK(questions.begin(peers, "b") == "c");
    CHECK(questions.open() == 2);
}

// Guards against a peer that is never asked after a restore of the store because all were being asked at that time.
TEST_CASE("A question that is owed stays owed until it is begun", "[peerquestions]")
{
    PeerQuestions questions;
    CHECK_FALSE(questions.isOwed());
    questions.owe(2);
    CHECK(questions.isOwed());
    questions.pay();
    CHECK(questions.isOwed());
    questions.pay();
    CHECK_FALSE(questions.isOwed());
    questions.pay();
    CHECK_FALSE(questions.isOwed());
}
