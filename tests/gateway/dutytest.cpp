#include "gatewayfixture.h"
#include "platformapistandin.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
/// \brief Two gateways, a store that expires members and the platform's API. Windows last a second.
class DutyFixture
{
public:
    DutyFixture()
        : api(standins.onStandins([this] {
            standins.store().expireMembers();
            standins.store().stateEra(1);
            return std::make_unique<PlatformApiStandin>(standins.io());
        }))
    {
        for (const char *process : {"d1", "d2"}) {
            start(process);
        }
    }

    ~DutyFixture()
    {
        gateways.clear();
        standins.onStandins([this] {
            api.reset();
        });
    }

    DutyFixture(const DutyFixture &) = delete;
    DutyFixture &operator=(const DutyFixture &) = delete;

    std::vector<PlatformApiStandin::Call> calls()
    {
        return standins.onStandins([this] {
            return api->calls();
        });
    }

    /// \brief Waits until \a count reports were accepted after the first \a skipped calls.
    void awaitReports(std::size_t count, std::size_t skipped = 0)
    {
        waitUntil("reports are accepted", [&] {
            const auto all = calls();
            std::size_t accepted = 0;
            for (std::size_t i = skipped; i < all.size(); ++i) {
                accepted += all[i].status == 200 ? 1 : 0;
            }
            return accepted >= count;
        });
    }

    /// \brief Sends a signal to the process that holds the lease. May be called on the thread of the stand-ins.
    void signalHolder(const std::string &holder, int signal)
    {
        gateways.at(holder)->send(signal);
    }

    GatewayFixture standins;
    std::unique_ptr<PlatformApiStandin> api;
    std::map<std::string, std::unique_ptr<TestProgram>> gateways;

private:
    void start(const std::string &process)
    {
        const std::string name = std::string(BINARY_DIRECTORY) + "/duty-" + std::to_string(getpid()) + '-' + process;
        std::ofstream(name + ".toml") << "process = \"" << process << "\"\ndata_centre = \"here\"\nlisten = \"" << freeAddress() << "\"\nreadiness = \""
                                      << freeAddress() << "\"\nstore = \"" << standins.store().address() << "\"\n[platform_api]\naddress = \"" << api->address()
                                      << "\"\nduties = [\"usage_report\", \"autoscale\"]\nusage_window = \"1s\"\n"
                                      << "[[data_centres]]\nid = \"here\"\nregion = \"r\"\n";
        gateways[process] =
            std::make_unique<TestProgram>(std::string(BINARY_DIRECTORY) + "/mimosatally", std::vector<std::string> {"gateway", name + ".toml"}, name + ".log");
    }
};

/// \brief Checks the rules of the platform on all calls, and that no window is left out. \return windows in the order of their first reports.
std::vector<std::int64_t> checkCalls(const std::vector<PlatformApiStandin::Call> &calls)
{
    std::map<std::int64_t, std::string> holders;
    std::map<std::int64_t, std::string> bodies;
    std::vector<std::int64_t> windows;
    std::int64_t token = 0;
    for (const PlatformApiStandin::Call &call : calls) {
        CHECK(call.target == "/usage");
        CHECK(call.token >= token);
        token = call.token;
        CHECK(holders.emplace(call.token, call.holder).first->second == call.holder);
        const auto [known, isNew] = bodies.emplace(call.window(), call.body);
        CHECK(known->second == call.body);
        if (isNew) {
            CHECK((windows.empty() || call.window() == windows.back() + 1));
            windows.push_back(call.window());
        }
    }
    return windows;
}
} // namespace

// Guards against a window that is lost with its holder, or that its successor reports with other counts.
TEST_CASE("The next holder continues after the holder was killed before or after it sent", "[gateway][duties]")
{
    const bool beforeSend = GENERATE(true, false);
    DutyFixture fixture;
    fixture.awaitReports(2);
    const std::string holder = fixture.calls().back().holder;
    std::size_t callsAtKill = 0;
    fixture.standins.onStandins([&] {
        const auto kill = [&] {
            callsAtKill = callsAtKill == 0 ? fixture.api->calls().size() : callsAtKill;
            fixture.signalHolder(holder, SIGKILL);
        };
        if (beforeSend) {
            fixture.standins.store().onAppend([&fixture, kill] {
                kill();
                fixture.standins.store().onAppend(nullptr);
            });
        } else {
            fixture.api->answerWith([kill, holder](const PlatformApiStandin::Call &call) {
                if (call.holder == holder) {
                    kill();
                    return 0U;
                }
                return 200U;
            });
        }
    });
    waitUntil("the holder is killed", [&] {
        return fixture.standins.onStandins([&] {
            return callsAtKill > 0;
        });
    });
    fixture.awaitReports(3, callsAtKill + (beforeSend ? 0 : 1));
    const auto calls = fixture.calls();
    checkCalls(calls);
    CHECK(calls.back().holder != holder);
    if (!beforeSend) {
        // The platform may have executed the call without an answer, so it is repeated as it was; checkCalls() compares the bodies.
        CHECK(std::any_of(calls.begin() + static_cast<std::ptrdiff_t>(callsAtKill) + 1, calls.end(), [&](const PlatformApiStandin::Call &call) {
            return call.window() == calls[callsAtKill].window();
        }));
    }
}

// Guards against a frozen holder that goes on with its old token.
TEST_CASE("A holder that was frozen for longer than its lease does not call any more", "[gateway][duties]")
{
    DutyFixture fixture;
    fixture.awaitReports(2);
    const std::string holder = fixture.calls().back().holder;
    fixture.signalHolder(holder, SIGSTOP);
    std::this_thread::sleep_for(std::chrono::seconds(6));
    fixture.signalHolder(holder, SIGCONT);
    const std::size_t before = fixture.calls().size();
    fixture.awaitReports(6, before);
    const auto calls = fixture.calls();
    checkCalls(calls);
    CHECK(calls.back().holder != holder);
}

// Guards against reports without the store, which nobody could repeat, and against a holder that does not recover.
TEST_CASE("Without the store nothing is sent after the lease, and no window is lost", "[gateway][duties]")
{
    DutyFixture fixture;
    fixture.awaitReports(2);
    const StoreMode mode = GENERATE(StoreMode::Unavailable, StoreMode::Unresponsive);
    fixture.standins.onStandins([&] {
        fixture.standins.store().setMode(mode);
    });
    std::this_thread::sleep_for(std::chrono::seconds(4));
    const std::size_t atEndOfLease = fixture.calls().size();
    std::this_thread::sleep_for(std::chrono::seconds(2));
    CHECK(fixture.calls().size() == atEndOfLease);
    fixture.standins.onStandins([&] {
        fixture.standins.store().setMode(StoreMode::Serving);
    });
    fixture.awaitReports(8, atEndOfLease);
    checkCalls(fixture.calls());
}

// Guards against reports that are dropped or changed after an error, and against further calls with a rejected token.
TEST_CASE("Reports are repeated until the platform accepts them, and a rejected token is not used again", "[gateway][duties]")
{
    DutyFixture fixture;
    const std::vector<unsigned> statuses = {429, 500, 0, 200, 409};
    std::size_t next = 0;
    fixture.standins.onStandins([&] {
        fixture.api->answerWith([&](const PlatformApiStandin::Call &) {
            return next < statuses.size() ? statuses[next++] : 200U;
        });
    });
    fixture.awaitReports(3, statuses.size());
    const auto calls = fixture.calls();
    checkCalls(calls);
    for (std::size_t i = 1; i < 4; ++i) {
        CHECK(calls[i].body == calls[0].body);
    }
    for (std::size_t i = statuses.size(); i < calls.size(); ++i) {
        CHECK(calls[i].token > calls[statuses.size() - 1].token);
    }
}
