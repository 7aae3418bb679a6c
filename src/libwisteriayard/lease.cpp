#include "wisteriayard/lease.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <algorithm>
#include <string>

namespace wisteriayard {

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::none;
using msm::front::Row;

namespace {

    struct RequestSent {
        TimePoint now;
    };
    struct Acquired {
        Epoch epoch;
        TimePoint now;
    };
    struct Refused { };
    struct RequestUnanswered { };
    struct Renewed {
        TimePoint sent;
    };
    struct Lost { };
    struct Tick {
        TimePoint now;
    };

    struct RecordRequest {
        template <typename Event, typename Machine, typename From, typename To>
        void operator()(const Event& event, Machine& machine, From&, To&) const
        {
            machine.sent = event.now;
        }
    };

    struct RecordAcquisition {
        template <typename Event, typename Machine, typename From, typename To>
        void operator()(const Event& event, Machine& machine, From&, To&) const
        {
            machine.epoch = event.epoch;
            machine.readyAt = event.now
                + machine.times.activationDelay.value_or(machine.times.timeToLive + machine.times.safetyMargin);
            machine.readyAt = std::max(machine.readyAt, machine.actedUntil + machine.times.reacquisitionGap);
            machine.readyAt = std::max(machine.readyAt, machine.othersActUntil);
        }
    };

    struct RecordRenewal {
        template <typename Event, typename Machine, typename From, typename To>
        void operator()(const Event& event, Machine& machine, From&, To&) const
        {
            machine.sent = std::max(machine.sent, event.sent);
        }
    };

    struct RecordAuthorityEnd {
        template <typename Event, typename Machine, typename From, typename To>
        void operator()(const Event&, Machine& machine, From&, To&) const
        {
            machine.actedUntil = machine.authorityEnds();
        }
    };

    struct AuthorityExpired {
        template <typename Event, typename Machine, typename From, typename To>
        bool operator()(const Event& event, Machine& machine, From&, To&) const
        {
            return event.now >= machine.authorityEnds();
        }
    };

    struct DelayElapsed {
        template <typename Event, typename Machine, typename From, typename To>
        bool operator()(const Event& event, Machine& machine, From&, To&) const
        {
            return event.now >= machine.readyAt && event.now < machine.authorityEnds();
        }
    };

    /// Front end of the state machine; its states are in the order of LeaseState.
    struct LeaseMachine : msm::front::state_machine_def<LeaseMachine> {
        struct Free : msm::front::state<> { };
        struct Acquiring : msm::front::state<> { };
        struct Indeterminate : msm::front::state<> { };
        struct Waiting : msm::front::state<> { };
        struct Holding : msm::front::state<> { };

        using initial_state = Free;

        // clang-format off
        // NOLINTNEXTLINE(readability-identifier-naming): name required by Boost.MSM
        struct transition_table : mpl::vector<
            Row<Free, RequestSent, Acquiring, RecordRequest, none>,
            Row<Acquiring, Acquired, Waiting, RecordAcquisition, none>,
            Row<Acquiring, Refused, Free, none, none>,
            Row<Acquiring, RequestUnanswered, Indeterminate, none, none>,
            Row<Indeterminate, Acquired, Waiting, RecordAcquisition, none>,
            Row<Indeterminate, Refused, Free, none, none>,
            Row<Waiting, Renewed, none, RecordRenewal, none>,
            Row<Waiting, Lost, Free, none, none>,
            Row<Waiting, Tick, Free, none, AuthorityExpired>,
            Row<Waiting, Tick, Holding, none, DelayElapsed>,
            Row<Holding, Renewed, none, RecordRenewal, none>,
            Row<Holding, Lost, Free, RecordAuthorityEnd, none>,
            Row<Holding, Tick, Free, RecordAuthorityEnd, AuthorityExpired>
        > { };
        // clang-format on

        template <typename Machine, typename Event> void no_transition(const Event&, Machine&, int) { }

        TimePoint authorityEnds() const { return sent + times.timeToLive - times.safetyMargin; }

        LeaseTimes times;
        TimePoint sent {};
        TimePoint readyAt {};
        /// Latest time at which this instance may have acted.
        TimePoint actedUntil {};
        /// Latest time at which a holder from before a restoration of the store may act.
        TimePoint othersActUntil {};
        Epoch epoch {};
    };

} // namespace

struct LeaseHolder::Machine : msm::back::state_machine<LeaseMachine> { };

std::string_view leaseStateName(LeaseState state)
{
    switch (state) {
    case LeaseState::Free:
        return "free";
    case LeaseState::Acquiring:
        return "acquiring";
    case LeaseState::Indeterminate:
        return "unsure";
    case LeaseState::Waiting:
        return "waiting";
    case LeaseState::Holding:
        return "holding";
    }
    return "unknown";
}

namespace {

    template <typename Machine, typename Event> Status apply(Machine& machine, const Event& event, const char* name)
    {
        int before = machine.current_state()[0];
        if (machine.process_event(event) == msm::back::HANDLED_TRUE)
            return boost::outcome_v2::success();
        return fail(Errc::Conflict,
            std::string("lease: ") + name + " is not allowed when "
                + std::string(leaseStateName(static_cast<LeaseState>(before))));
    }

} // namespace

LeaseHolder::LeaseHolder(LeaseTimes times, TimePoint startedAt)
    : m_machine(std::make_unique<Machine>())
{
    m_machine->times = times;
    m_machine->actedUntil = startedAt;
    m_machine->start();
}

LeaseHolder::LeaseHolder(LeaseHolder&&) noexcept = default;
LeaseHolder& LeaseHolder::operator=(LeaseHolder&&) noexcept = default;
LeaseHolder::~LeaseHolder() = default;

Status LeaseHolder::requestSent(TimePoint now) { return apply(*m_machine, RequestSent { now }, "a request"); }
Status LeaseHolder::acquired(Epoch epoch, TimePoint now)
{
    return apply(*m_machine, Acquired { epoch, now }, "an acquisition");
}
Status LeaseHolder::refused() { return apply(*m_machine, Refused {}, "a refusal"); }
Status LeaseHolder::requestUnanswered() { return apply(*m_machine, RequestUnanswered {}, "an unanswered request"); }
Status LeaseHolder::renewed(TimePoint sent) { return apply(*m_machine, Renewed { sent }, "a renewal"); }
Status LeaseHolder::lost() { return apply(*m_machine, Lost {}, "a loss"); }
void LeaseHolder::storeRestored(TimePoint now)
{
    const LeaseTimes& times = m_machine->times;
    m_machine->othersActUntil
        = now + times.timeToLive - times.safetyMargin + times.activationDelay.value_or(Duration(0));
    (void)lost(); // refused if no lease is held
}
void LeaseHolder::tick(TimePoint now) { m_machine->process_event(Tick { now }); }

LeaseState LeaseHolder::state() const { return static_cast<LeaseState>(m_machine->current_state()[0]); }
Epoch LeaseHolder::epoch() const { return m_machine->epoch; }

std::optional<TimePoint> LeaseHolder::authorityEnds(TimePoint now) const
{
    TimePoint ends = m_machine->authorityEnds();
    if (state() != LeaseState::Holding || now >= ends)
        return std::nullopt;
    return ends;
}

} // namespace wisteriayard
