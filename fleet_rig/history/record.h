// The events that the actors of a fleet observed: one record per event, written as JSON lines. All times are
// seconds since the run began, on one clock (CLOCK_MONOTONIC). This is the only input of the checkers.
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
    kBegin,               // the run begins: `limit` seconds of load
    kActorJoined,         // `by` records events from here on
    kOperationBegan,      // client `by` begins the operation `operation_id`, which may take several attempts
    kOperationEnded,      // the operation's final `status`; 0 without any response
    kRequestSent,         // client `by` has written a complete request to node `to`; `limit`: its deadline
    kResponse,            // the client has a complete response: `status`, Retry-After `wait` s
    kConnectionBroken,    // the client's connection ended without a response
    kClientDisconnected,  // the client has stopped waiting and closed the connection
    kServerReceived,  // server `by` has a complete request from node `to`; `last_byte_sent_at`: when the node
                      // had sent its last byte
    kServerAnswered,  // the server has written its response: `status`
    kNotified,        // discovery has notified node `by` that server `to` is ready (`flag`) or not
    kUp,              // a node or server runs and is reachable
    kDown,            // the rig ended a node or server
    kTerm,            // a node was sent SIGTERM
    kPaused,          // a node is stopped or starved of CPU time ...
    kResumed,         // ... until here
    kCrash,           // a node exited without being asked to
    kFault,           // the fault `note` begins
    kFaultEnded,      // the fault `note` is over
    kLinkFaulty,      // the link between `by` and `to` is faulty ...
    kLinkRestored,    // ... until here
    kUsage,  // of a node: CPU time `work` s so far, memory `status` kB, `count` descriptors, of which
             // `tier` are kept open by its clients
    kOpen,   // `count` connections are open, summed over all servers
    kView,   // node `by` has logged its view of the replica set: `note`, see views.h
    kLate,   // the rig itself was `work` s late
    kClosed  // `by` has written its last record
  };
  double t = 0;
  What what = What::kActorJoined;
  Actor by, to;
  std::string id;            // of the request; unique
  std::string operation_id;  // id of the operation's first attempt; equal to `id` in a first attempt
  int request_class = 0, tenant = 0, tier = 0, count = 0;
  int status = 0;
  bool flag = false;  // of kNotified: the server is ready; of kServerReceived: the request is not rejected
  double limit = 0, last_byte_sent_at = 0;
  double work = 0, cold_capacity = 0;  // s of work; s of work a second that a cold server can do, 0: warm
  double wait = 0;
  std::string note;
};

// Returns one line, without the newline.
std::string to_line(const Record& record);
// Returns nullopt if the line is malformed or truncated.
std::optional<Record> from_line(std::string_view line);

struct History {
  std::vector<Record> records;     // ordered by time
  std::size_t unparsed_lines = 0;  // number of lines that could not be parsed
  // Throws std::runtime_error if the file can't be opened.
  static History read(const std::string& path);
  void sort();
};

}  // namespace thymewood::fleet
