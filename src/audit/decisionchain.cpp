#include "audit/chainformat.h"

#include <mimosatally/Audit>

#include <nlohmann/json.hpp>

namespace mimosatally
{

DecisionChain::DecisionChain(ProcessId process, IncarnationId incarnation, Bytes maxBufferedBytes)
    : process_(std::move(process))
    , incarnation_(std::move(incarnation))
    , maxBufferedBytes_(maxBufferedBytes)
    , lastHash_(internal::initialChainHash(process_, incarnation_))
{
}

Receipt DecisionChain::start(const std::string &role, ConfigurationVersion version, Time now)
{
    invariant(nextSequence_ == 0, "the start record is the first of its chain");
    return append({DecisionKind::ProcessStarted, {}, {}, version, now, toJson(ProcessStartedInputs {process_, incarnation_, role})});
}

Receipt DecisionChain::close(ConfigurationVersion version, Time now)
{
    const Receipt receipt = append({DecisionKind::ProcessStopped, {}, {}, version, now, toJson(ProcessStoppedInputs {})});
    closed_ = true;
    return receipt;
}

Receipt DecisionChain::append(const Decision &decision)
{
    invariant(!closed_, "no record follows the closing record of a chain");
    const std::int64_t sequence = nextSequence_++;
    std::string text = internal::chainRecordText(decision, sequence, lastHash_);
    lastHash_ = sha256Hex(text);
    bufferedBytes_ += Bytes(static_cast<std::int64_t>(text.size()));
    buffer_.push_back({sequence, std::move(text), lastHash_});
    // Records of the pending batch are kept, because the batch may already be in the log.
    while (bufferedBytes_ > maxBufferedBytes_ && buffer_.size() > pendingCount_ + 1) {
        dropOldest();
    }
    return {process_, incarnation_, sequence, lastHash_};
}

void DecisionChain::dropOldest()
{
    const auto oldest = buffer_.begin() + static_cast<std::ptrdiff_t>(pendingCount_);
    if (droppedCount_ == 0) {
        droppedFrom_ = oldest->sequence;
    }
    invariant(oldest->sequence == droppedFrom_ + droppedCount_, "dropped records are consecutive");
    ++droppedCount_;
    droppedHash_ = std::move(oldest->hash);
    bufferedBytes_ -= Bytes(static_cast<std::int64_t>(oldest->text.size()));
    buffer_.erase(oldest);
}

std::optional<std::string> DecisionChain::nextBatch(Bytes maxBytes)
{
    if (pendingBatch_) {
        return pendingBatch_;
    }
    internal::BatchWriter batch(process_, incarnation_);
    if (droppedCount_ > 0) {
        batch.addGap(droppedFrom_, droppedCount_, droppedHash_);
        droppedCount_ = 0;
    }
    for (const Entry &entry : buffer_) {
        if (pendingCount_ > 0 && batch.size() + entry.text.size() > static_cast<std::size_t>(maxBytes.count())) {
            break;
        }
        batch.addRecord(entry.text, entry.hash);
        ++pendingCount_;
    }
    if (batch.empty()) {
        return std::nullopt;
    }
    pendingBatch_ = batch.finish();
    return pendingBatch_;
}

void DecisionChain::confirmBatch()
{
    invariant(pendingBatch_.has_value(), "only a batch that was handed out is confirmed");
    for (; pendingCount_ > 0; --pendingCount_) {
        bufferedBytes_ -= Bytes(static_cast<std::int64_t>(buffer_.front().text.size()));
        buffer_.pop_front();
    }
    pendingBatch_.reset();
}

void DecisionChain::retryBatch()
{
    invariant(pendingBatch_.has_value(), "only a batch that was handed out is retried");
}

Bytes DecisionChain::bufferedBytes() const
{
    return bufferedBytes_;
}

} // namespace mimosatally
