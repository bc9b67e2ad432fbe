#include <algorithm>
#include <future>
#include <new>
#include <stdexcept>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "base/duty.h"

using namespace mangoshift;

namespace {

struct Event
{
    int number = 0;
};
struct Configuration
{
    int version = 0;
};
struct Changes
{
    std::vector<int> numbers;

    void merge(Changes later)
    {
        numbers.insert(numbers.end(), later.numbers.begin(), later.numbers.end());
    }
};
struct Last
{
    std::promise<void> *done = nullptr;
};
using Message = std::variant<Event, Configuration, Changes, Last>;

constexpr std::size_t RingCapacity = 4;

/// A duty that records what it handles. It runs until a `Last` message.
class RecordingDuty
{
public:
    Duty<Message> duty{"test", RingCapacity};
    std::string handled;
    std::vector<int> changes;

    /// Starts the duty and waits until it has handled all that was posted before.
    void run()
    {
        std::promise<void> done;
        duty.start([this](Message &message) {
            std::visit(Overloaded{[this](Event &event) {
                                      handled += "event" + std::to_string(event.number) + " ";
                                  },
                                  [this](Configuration &configuration) {
                                      handled +=
                                          "version" + std::to_string(configuration.version) + " ";
                                  },
                                  [this](Changes &all) {
                                      changes.insert(changes.end(), all.numbers.begin(),
                                                     all.numbers.end());
                                  },
                                  [](Last &last) { last.done->set_value(); }},
                       message);
        });
        // Posted after all that was posted before the start.
        asio::post(duty.io(), [&] { duty.postLatest(Last{&done}); });
        done.get_future().wait();
        duty.stop();
    }
};

} // namespace

TEST_CASE("A duty whose ring is full")
{
    RecordingDuty recorder;
    Duty<Message> &duty = recorder.duty;
    for (int i = 0; i < static_cast<int>(RingCapacity); ++i)
        REQUIRE(duty.tryPost(Event{i}));
    CHECK_FALSE(duty.tryPost(Event{9}));
    CHECK(duty.rejected() == 1);

    SECTION("still gets a state, before the messages in the ring")
    {
        duty.postLatest(Configuration{1});
        recorder.run();
        CHECK(recorder.handled == "version1 event0 event1 event2 event3 ");
    }
    SECTION("gets the latest of several states")
    {
        duty.postLatest(Configuration{1});
        duty.postLatest(Configuration{2});
        recorder.run();
        CHECK(recorder.handled == "version2 event0 event1 event2 event3 ");
    }
    SECTION("gets all changes that can be merged")
    {
        duty.postLatest(Changes{{1, 2}});
        duty.postLatest(Configuration{1});
        duty.postLatest(Changes{{3}});
        recorder.run();
        CHECK(recorder.changes == std::vector<int>{1, 2, 3});
        CHECK(recorder.handled.starts_with("version1 "));
    }
}

// Guards against an unexpected error in one message that ends the whole process.
TEST_CASE("A duty whose handler throws for one message handles the others")
{
    Duty<Message> duty("test", RingCapacity);
    std::string handled;
    std::promise<void> done;
    for (int i = 0; i < 3; ++i)
        REQUIRE(duty.tryPost(Event{i}));
    duty.postLatest(Configuration{7});
    duty.postLatest(Changes{{1}});
    duty.start([&](Message &message) {
        if (std::holds_alternative<Configuration>(message))
            throw std::runtime_error("a configuration with an unexpected error");
        if (const auto *event = std::get_if<Event>(&message)) {
            if (event->number == 1)
                throw std::out_of_range("an unexpected event");
            handled += "event" + std::to_string(event->number) + " ";
        } else if (std::holds_alternative<Changes>(message)) {
            handled += "changes ";
        } else if (auto *last = std::get_if<Last>(&message)) {
            last->done->set_value();
        }
    });
    asio::post(duty.io(), [] { throw std::bad_alloc(); });
    asio::post(duty.io(), [&] { duty.postLatest(Last{&done}); });
    done.get_future().wait();
    duty.stop();
    CHECK(handled == "changes event0 event2 ");
    CHECK(duty.errors() == 3);
}

TEST_CASE("A duty that several threads post to misses no change")
{
    constexpr int writers = 4;
    constexpr int changesPerWriter = 5000;
    Duty<Message> duty("test", RingCapacity);
    std::vector<int> lastOfWriter(writers, -1);
    int handled = 0;
    int version = 0;
    int overtakenChanges = 0;
    std::promise<void> done;
    duty.start([&](Message &message) {
        if (const auto *configuration = std::get_if<Configuration>(&message))
            version = std::max(version, configuration->version);
        if (const auto *event = std::get_if<Event>(&message)) {
            // A writer posts a change before the event with the same number.
            const auto writer = static_cast<std::size_t>(event->number / changesPerWriter);
            overtakenChanges += lastOfWriter[writer] < event->number % changesPerWriter ? 1 : 0;
        }
        const auto *all = std::get_if<Changes>(&message);
        if (all == nullptr)
            return;
        for (const int number : all->numbers) {
            const auto writer = static_cast<std::size_t>(number / changesPerWriter);
            // Changes of one writer arrive in their order.
            if (number % changesPerWriter == lastOfWriter[writer] + 1)
                ++lastOfWriter[writer];
            if (++handled == writers * changesPerWriter)
                done.set_value();
        }
    });
    std::vector<std::thread> threads;
    threads.reserve(writers);
    for (int writer = 0; writer < writers; ++writer)
        threads.emplace_back([&duty, writer] {
            for (int i = 0; i < changesPerWriter; ++i) {
                duty.postLatest(Configuration{i});
                const int number = writer * changesPerWriter + i;
                duty.postLatest(Changes{{number}});
                duty.tryPost(Event{number});
            }
        });
    for (std::thread &thread : threads)
        thread.join();
    done.get_future().wait();
    duty.stop();
    CHECK(version == changesPerWriter - 1);
    CHECK(overtakenChanges == 0);
    CHECK(lastOfWriter == std::vector<int>(writers, changesPerWriter - 1));
}
