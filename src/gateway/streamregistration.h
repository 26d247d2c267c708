#pragma once

#include "streamlookup.h"

namespace mimosatally::internal
{

/// \brief Registers a stream of one call from the first event that the call forwards to the end of the stream.
class StreamRegistration
{
public:
    StreamRegistration(StreamTracker &tracker, StreamLookup &lookup)
        : tracker_(tracker)
        , lookup_(lookup)
    {
    }

    ~StreamRegistration()
    {
        end(StreamTracker::End::Broken);
    }

    StreamRegistration(const StreamRegistration &) = delete;
    StreamRegistration &operator=(const StreamRegistration &) = delete;

    /// \brief Records the origin before the first event is written; later calls have no effect.
    void begin(const RequestId &root, const StreamOrigin &origin)
    {
        if (!begun_) {
            begun_ = true;
            root_ = root;
            tracker_.streamBegan(root, origin, MilliClock::now());
        }
    }

    /// \brief Records the end of a stream that has begun; later calls have no effect. Must be called before the caller's connection is closed, so that other
    /// gateways know a broken stream before its caller comes back.
    void end(StreamTracker::End end)
    {
        if (begun_ && !ended_) {
            ended_ = true;
            lookup_.streamEnded(root_, end);
        }
    }

private:
    StreamTracker &tracker_;
    StreamLookup &lookup_;
    RequestId root_;
    bool begun_ = false;
    bool ended_ = false;
};

} // namespace mimosatally::internal
