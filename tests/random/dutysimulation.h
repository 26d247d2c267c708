#pragma once

#include "gateway/dutyleasestate.h"

#include <mimosatally/Usage>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <string>

namespace duties
{

using namespace mimosatally;
using mimosatally::internal::DutyLeaseState;

/// \brief Probabilities of faults, for each step of 50 ms unless stated otherwise.
struct Faults {
    double kill = 0;
    double freeze = 0;
    double storeCut = 0;
    double storeOutage = 0;
    double restore = 0;
    /// \brief The store assigns the lease to a random member, maybe several times in a row.
    double reassign = 0;
    /// \brief For each call: it is lost, is executed up to 10 s later, or its answer is lost.
    double lostCall = 0;
    double lateCall = 0;
    double lostAnswer = 0;
    double busyAnswer = 0;
};

/// \brief Gateways with their lease and reporter between a fake store and a fake platform. Each process counts differently each time that it is asked, so that
/// every window that is computed twice is found.
class DutySimulation
{
public:
    DutySimulation(std::uint64_t seed, Faults faults, bool fencesChecked)
        : random_(seed)
        , faults_(faults)
        , fencesChecked_(fencesChecked)
    {
        for (int i = 0; i < PROCESSES; ++i) {
            processes_.emplace_back(i);
        }
    }

    void run(std::int64_t windows)
    {
        const Time end = now_ + WINDOW * windows;
        while (now_ < end) {
            now_ += STEP;
            injectFaults();
            runLateCalls();
            expireMembers();
            for (Process &process : processes_) {
                act(process);
            }
        }
    }

    int differingReports = 0;
    int sharedTokens = 0;
    int lowerTokens = 0;
    int alternations = 0;
    int callsAfterRejection = 0;
    int holderChanges = 0;
    std::int64_t restores = 0;
    std::map<std::int64_t, UsageReport> accepted;

private:
    static constexpr int PROCESSES = 5;
    static constexpr Duration STEP = Duration(50);
    static constexpr Duration LEASE = Duration(3000);
    static constexpr Duration WINDOW = Duration(5000);
    static constexpr Duration CALL_TIMEOUT = Duration(800);

    struct Process {
        explicit Process(int number)
            : name(number)
        {
        }

        int name;
        Time busyUntil = Time(Duration(0));
        Time cutUntil = Time(Duration(0));
        Time nextRenewal = Time(Duration(0));
        std::int64_t clockOffset = 0;
        DutyLeaseState lease {{LEASE, true}};
        StoreEraTracker era;
        UsageReporter reporter {{}};
        std::optional<UsageWindow> heard;
        std::int64_t rejected = -1;
        /// \brief Applies the answer of the call in progress once it has arrived.
        std::function<void()> answer;
    };

    struct Store {
        std::int64_t generation = 0;
        int holder = -1;
        std::map<int, Time> members;
        std::int64_t epoch = -1;
        std::int64_t sequence = 0;
        std::optional<UsageRecord> record;
    };

    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
    }

    std::int64_t pick(std::int64_t below)
    {
        return std::uniform_int_distribution<std::int64_t>(0, below - 1)(random_);
    }

    void injectFaults()
    {
        for (Process &process : processes_) {
            if (chance(faults_.kill)) {
                process = Process(nextName_++);
                process.clockOffset = pick(400) - 200;
                process.busyUntil = now_ + Duration(pick(3000));
            }
            if (chance(faults_.freeze)) {
                process.busyUntil = std::max(process.busyUntil, now_ + Duration(pick(8000)));
            }
            if (chance(faults_.storeCut)) {
                process.cutUntil = now_ + Duration(pick(10'000));
            }
            if (process.reporter.lastWritten() && chance(0.02)) {
                Process &peer = processes_[static_cast<std::size_t>(pick(PROCESSES))];
                peer.heard = std::max(peer.heard.value_or(UsageWindow()), *process.reporter.lastWritten());
            }
        }
        if (chance(faults_.storeOutage)) {
            outageUntil_ = now_ + Duration(pick(20'000));
        }
        if (chance(0.005)) {
            copy_ = store_;
        }
        if (chance(faults_.restore)) {
            store_ = copy_;
            ++storeEra_;
            ++restores;
            for (auto &[member, until] : store_.members) {
                until = now_ + LEASE;
            }
        }
        flips_ = chance(faults_.reassign) ? static_cast<int>(pick(6)) : flips_;
        if (flips_ > 0 && !store_.members.empty() && chance(0.1)) {
            --flips_;
            elect();
        }
    }

    void elect()
    {
        ++store_.generation;
        auto member = store_.members.begin();
        std::advance(member, store_.members.empty() ? 0 : pick(static_cast<std::int64_t>(store_.members.size())));
        store_.holder = store_.members.empty() ? -1 : member->first;
    }

    void expireMembers()
    {
        const bool holderExpired = store_.members.contains(store_.holder) && store_.members[store_.holder] <= now_;
        std::erase_if(store_.members, [this](const auto &member) {
            return member.second <= now_;
        });
        if (holderExpired) {
            elect();
        }
    }

    void runLateCalls()
    {
        for (auto call = lateCalls_.begin(); call != lateCalls_.end();) {
            if (call->first > now_) {
                ++call;
                continue;
            }
            call->second();
            call = lateCalls_.erase(call);
        }
    }

    /// \brief Executes a call of \a process now, late or never, and schedules its answer or its timeout.
    template<class Execute, class Answer, class Failure>
    void call(Process &process, bool toStore, Execute execute, Answer answer, Failure failure)
    {
        const bool unreachable = toStore && (process.cutUntil > now_ || outageUntil_ > now_);
        if (unreachable || chance(faults_.lostCall)) {
            process.answer = failure;
            process.busyUntil = std::max(process.busyUntil, now_ + CALL_TIMEOUT);
            return;
        }
        if (chance(faults_.lateCall)) {
            lateCalls_.emplace_back(now_ + Duration(pick(10'000)), [execute] {
                execute();
            });
            process.answer = failure;
            process.busyUntil = std::max(process.busyUntil, now_ + CALL_TIMEOUT);
            return;
        }
        const auto result = execute();
        const bool lost = chance(faults_.lostAnswer);
        process.busyUntil = std::max(process.busyUntil, now_ + (lost ? CALL_TIMEOUT : Duration(pick(20))));
        process.answer = [answer, failure, result, lost] {
            lost ? failure() : answer(result);
        };
    }

    void act(Process &process)
    {
        if (process.busyUntil > now_) {
            return;
        }
        if (process.answer) {
            const auto answer = std::exchange(process.answer, nullptr);
            answer();
            return;
        }
        if (now_ >= process.nextRenewal && process.lease.mayRenew(now_)) {
            renew(process);
        } else if (process.lease.coversDuties(process.era, now_)) {
            report(process);
        } else {
            process.reporter.lose();
        }
    }

    struct JoinResult {
        DutyLeaseState::Grant grant;
    };

    void renew(Process &process)
    {
        process.nextRenewal = now_ + Duration(1000 + pick(250));
        const Time sent = now_;
        const int name = process.name;
        call(
            process,
            true,
            [this, name] {
                const bool isNew = !store_.members.contains(name);
                store_.members[name] = now_ + LEASE;
                if (store_.holder < 0 || !store_.members.contains(store_.holder)) {
                    elect();
                } else if (isNew) {
                    ++store_.generation;
                }
                return DutyLeaseState::Grant {store_.generation, StoreEra(storeEra_), store_.holder == name};
            },
            [this, &process, sent](const DutyLeaseState::Grant &grant) {
                if (process.era.observe(grant.era, now_) != StoreEraTracker::Observation::Outdated) {
                    process.lease.recordGrant(grant, sent, now_);
                    if (const auto until = process.lease.waitsUntil(); until && *until > now_) {
                        process.nextRenewal = std::min(process.nextRenewal, *until);
                    }
                }
            },
            [] {});
    }

    UsageView viewOf(Process &process)
    {
        UsageView view;
        view.now = now_;
        view.unixMs = now_.time_since_epoch().count() + process.clockOffset;
        view.lastWritten = process.heard;
        view.totals = [this, &process](UsageWindow) {
            WindowTotals totals;
            totals.counts[OrganisationId("o")] = ++counter_;
            if (chance(0.3)) {
                totals.unclosed.emplace_back("x" + std::to_string(process.name));
            }
            return totals;
        };
        return view;
    }

    void report(Process &process)
    {
        const DutyLeaseState &lease = process.lease;
        if (process.reporter.token() != lease.token()) {
            process.reporter.acquire({lease.token(), lease.acquired(), lease.era(), process.era.since()});
        }
        const UsageAction action = process.reporter.next(viewOf(process));
        if (const auto *claim = std::get_if<UsageEpochClaim>(&action)) {
            append(process, claim->sequence, std::nullopt);
        } else if (const auto *write = std::get_if<UsageWrite>(&action)) {
            append(process, write->sequence, write->record);
        } else if (const auto *send = std::get_if<UsageSend>(&action)) {
            sendReport(process, send->report);
        } else if (std::holds_alternative<UsageRead>(action)) {
            read(process);
        }
    }

    /// \brief Answer of the store to an append; `expected` only with OutOfSequence.
    struct AppendResult {
        enum { Written, Fenced, OutOfSequence } outcome = Written;
        std::int64_t expected = 0;
        StoreEra era;
    };

    AppendResult executeAppend(std::int64_t epoch, std::int64_t sequence, const std::optional<UsageRecord> &record)
    {
        AppendResult result {AppendResult::Written, store_.sequence + 1, StoreEra(storeEra_)};
        constexpr std::int64_t remembered = 5;
        if (epoch < store_.epoch) {
            result.outcome = AppendResult::Fenced;
        } else if (epoch == store_.epoch && sequence <= store_.sequence && sequence > store_.sequence - remembered) {
            return result;
        } else if (epoch == store_.epoch && sequence != store_.sequence + 1) {
            result.outcome = AppendResult::OutOfSequence;
        } else {
            store_.epoch = epoch;
            store_.sequence = sequence;
            store_.record = record ? record : store_.record;
        }
        return result;
    }

    void append(Process &process, std::int64_t sequence, std::optional<UsageRecord> record)
    {
        const std::int64_t token = process.lease.token();
        call(
            process,
            true,
            [this, token, sequence, record] {
                return executeAppend(token, sequence, record);
            },
            [this, &process, token](const AppendResult &result) {
                if (process.era.observe(result.era, now_) != StoreEraTracker::Observation::Unchanged) {
                    process.reporter.recordStoreFailure(now_, 0.5);
                } else if (result.outcome == AppendResult::Written) {
                    process.reporter.recordAppended();
                } else if (result.outcome == AppendResult::Fenced || !process.reporter.recordOutOfSequence(result.expected)) {
                    process.lease.recordDutyRejection(token, now_);
                }
            },
            [this, &process] {
                process.reporter.recordStoreFailure(now_, 0.5);
            });
    }

    void read(Process &process)
    {
        call(
            process,
            true,
            [this] {
                return std::pair(store_.record, StoreEra(storeEra_));
            },
            [this, &process](const auto &result) {
                if (process.era.observe(result.second, now_) == StoreEraTracker::Observation::Unchanged) {
                    process.reporter.recordRead(result.first, viewOf(process));
                }
            },
            [this, &process] {
                process.reporter.recordStoreFailure(now_, 0.5);
            });
    }

    void sendReport(Process &process, const UsageReport &report)
    {
        const std::int64_t token = process.lease.token();
        checkSend(process, token);
        call(
            process,
            false,
            [this, token, report] {
                return executeReport(token, report);
            },
            [this, &process, token, window = report.window](unsigned status) {
                if (status == 200) {
                    process.reporter.recordAccepted(window);
                } else if (status == 409) {
                    process.rejected = token;
                    process.lease.recordDutyRejection(token, now_);
                } else {
                    process.reporter.recordSendFailure(now_, 0.5);
                }
            },
            [this, &process] {
                process.reporter.recordSendFailure(now_, 0.5);
            });
    }

    unsigned executeReport(std::int64_t token, const UsageReport &report)
    {
        if (fencesChecked_ && token < highestExecuted_) {
            return 409;
        }
        if (chance(faults_.busyAnswer)) {
            return 503;
        }
        highestExecuted_ = std::max(highestExecuted_, token);
        const auto [known, isNew] = accepted.emplace(report.window.count(), report);
        differingReports += !isNew && !(known->second == report) ? 1 : 0;
        return 200;
    }

    void checkSend(const Process &process, std::int64_t token)
    {
        sharedTokens += senderOf_.try_emplace(token, process.name).first->second != process.name ? 1 : 0;
        lowerTokens += token < highestSent_ ? 1 : 0;
        callsAfterRejection += token <= process.rejected ? 1 : 0;
        highestSent_ = std::max(highestSent_, token);
        if (process.name != lastSender_) {
            const auto previous = lastSent_.find(process.name);
            alternations += previous != lastSent_.end() && now_ - previous->second < LEASE ? 1 : 0;
            lastSender_ = process.name;
            ++holderChanges;
        }
        lastSent_[process.name] = now_;
    }

    std::mt19937_64 random_;
    Faults faults_;
    bool fencesChecked_;
    Time now_ {Duration(1'000'000)};
    Time outageUntil_ = now_;
    std::deque<Process> processes_;
    int nextName_ = PROCESSES;
    int flips_ = 0;
    Store store_;
    Store copy_;
    std::int64_t storeEra_ = 0;
    std::int64_t counter_ = 0;
    std::deque<std::pair<Time, std::function<void()>>> lateCalls_;
    std::map<std::int64_t, int> senderOf_;
    std::map<int, Time> lastSent_;
    std::int64_t highestSent_ = -1;
    std::int64_t highestExecuted_ = -1;
    int lastSender_ = -1;
};

} // namespace duties
