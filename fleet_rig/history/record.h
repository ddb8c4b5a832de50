// What the actors of a fleet saw, a record an event, as JSON lines. All times are seconds on one clock
// (CLOCK_MONOTONIC) since the run began. Checkers read nothing else.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "actors.h"

namespace thymewood::fleet {

using bench::Actor;
using bench::ActorKind;

struct Record {
  enum class What {
    kBegin,           // the run: `limit` seconds of load
    kActorJoined,     // `by` takes part, from here on it writes what it sees
    kOperationBegan,  // a client `by` wants something: `first`, to be served whatever it takes
    kOperationEnded,  // ... and has its last word on it: `status`, 0 where it heard none
    kRequestSent,  // a client `by` has written a complete request, to node `to`; `limit`: it waits until then
    kResponse,     // it has a complete answer: `status`, `wait` advised
    kConnectionBroken,  // its connection ended without one
    kClientLeft,        // it waits no longer, and has closed
    kServerReceived,  // a server `by` has a complete request, from node `to`; `left`: when its last byte had
                      // left the node
    kServerAnswered,  // the server has written its answer: `status`
    kNotified,        // discovery has said to node `by` that server `to` is wanted (`yes`) or not
    kUp,              // a node or server runs, and can be reached
    kDown,            // a node or server was ended by the rig
    kTerm,            // a node was sent SIGTERM
    kPaused,          // a node is stopped or starved from here ...
    kResumed,         // ... to here
    kCrash,           // a node ended by itself
    kFault,           // `note` is in force
    kHealed,          // `note` is over
    kBadLink,         // between `by` and `to` nothing is sure from here ...
    kGoodLink,        // ... to here
    kUsage,  // of a node: cpu `work` s so far, memory `status` kB, descriptors `count`, `tier` of them kept
             // open by its clients
    kOpen,   // `count` connections are open at all servers
    kView,   // node `by` says in its log how it sees the fleet: `note`, see views.h
    kLate,   // the rig itself ran late by `work` s
    kClosed  // `by` has written all that it saw
  };
  double t = 0;
  What what = What::kActorJoined;
  Actor by, to;
  std::string id;     // of the request; unlike any other
  std::string first;  // of the client's first attempt of this; a first attempt's own id
  int request_class = 0, tenant = 0, tier = 0, count = 0;
  int status = 0;
  bool yes = false;
  double limit = 0, left = 0;
  double work = 0, cold = 0;  // s of work; s of work a second that a cold server can do, 0: it is warm
  double wait = 0;
  std::string note;
};

// One line, without its end.
std::string to_line(const Record& record);
// Nothing where the line is none, or was cut short.
std::optional<Record> from_line(std::string_view line);

struct History {
  std::vector<Record> records;  // in the order of their times
  std::size_t unread = 0;       // lines that could not be read
  // Throws std::runtime_error where the file can't be opened.
  static History read(const std::string& path);
  void sort();
};

}  // namespace thymewood::fleet
