// What nodes say to each other on the wire: it comes back as it was, is never too long, and anything else is
// told from it and dropped.
#include "codec.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "gossip_queue.h"

namespace thymewood::membership {
namespace {

constexpr std::size_t kCount = 400;

Message a_message(std::mt19937_64& random, std::size_t records) {
  Message m;
  m.kind = static_cast<Kind>(random() % 5);
  m.fleet = fleet_of("here");
  m.from = static_cast<Number>(random() % kCount);
  m.target = static_cast<Number>(random());
  m.stamp = static_cast<std::uint32_t>(random());
  m.answers = static_cast<std::uint32_t>(random());
  m.zone = static_cast<std::uint8_t>(random());
  m.peers = static_cast<std::uint16_t>(random());
  m.incarnation = random() | 1;
  m.digest = static_cast<std::uint32_t>(random());
  for (std::size_t i = 0; i < records; ++i)
    m.records.push_back({static_cast<Number>(random()), static_cast<Number>(random()),
                         static_cast<State>(random() % 4), static_cast<std::uint8_t>(random()), random()});
  return m;
}

Fault read(std::span<const std::uint8_t> bytes, Message& out) {
  return decode(bytes, fleet_of("here"), kCount, out);
}

// Head and records, with the checksum made fit again after a change.
Datagram changed(const Message& m, const std::function<void(Datagram&)>& change) {
  Datagram out = encode(m);
  change(out);
  return out;
}

TEST(Codec, GivesBackWhatItWasGiven) {
  std::mt19937_64 random(1);
  for (std::size_t i = 0; i < 2000; ++i) {
    const Message m = a_message(random, i % (kMostRecords + 1));
    const Datagram d = encode(m);
    EXPECT_LE(d.size, kMostBytes);
    Message back;
    ASSERT_EQ(read(d.view(), back), Fault::kNone);
    ASSERT_EQ(back, m);
  }
}

TEST(Codec, NeverGoesBeyondItsBytes) {
  std::mt19937_64 random(2);
  Message m = a_message(random, 60);
  const Datagram d = encode(m);
  EXPECT_LE(d.size, kMostBytes);
  EXPECT_GT(d.size + kRecordBytes, kMostBytes) << "and uses them";
  Message back;
  ASSERT_EQ(read(d.view(), back), Fault::kNone);
  m.records.resize(kMostRecords);
  EXPECT_EQ(back, m);
}

// The layout is a promise to nodes of other versions: by hand, once.
TEST(Codec, StandsOnTheWireAsItsHeaderSays) {
  Message m;
  m.kind = Kind::kAsk;
  m.fleet = 0x01020304;
  m.from = 0x0506;
  m.target = 0x0708;
  m.stamp = 0x090A0B0C;
  m.answers = 0x0D0E0F10;
  m.zone = 0x11;
  m.peers = 0x1213;
  m.incarnation = 0x1415161718191A1B;
  m.digest = 0x1C1D1E1F;
  m.records.push_back({0x2021, 0x2223, State::kFailed, 0x25, 0x262728292A2B2C2D});
  const Datagram d = encode(m);
  const std::vector<std::uint8_t> head{'T', 'W', 1, 1, 1, 2, 3, 4};
  EXPECT_TRUE(std::equal(head.begin(), head.end(), d.bytes.begin()));
  const std::vector<std::uint8_t> rest{5,    6,    7,    8,    9,    0xA,  0xB,  0xC,  0xD,  0xE,  0xF,
                                       0x10, 0x11, 1,    0x12, 0x13, 0x14, 0x15, 0x16, 0x17, 0x18, 0x19,
                                       0x1A, 0x1B, 0x1C, 0x1D, 0x1E, 0x1F, 0x20, 0x21, 0x22, 0x23, 2,
                                       0x25, 0x26, 0x27, 0x28, 0x29, 0x2A, 0x2B, 0x2C, 0x2D};
  ASSERT_EQ(d.size, 12 + rest.size());
  EXPECT_TRUE(std::equal(rest.begin(), rest.end(), d.bytes.begin() + 12));
}

TEST(Codec, TellsEachKindOfFalseDatagramFromTheOthers) {
  std::mt19937_64 random(3);
  const Message m = a_message(random, 3);
  Message out;
  const Datagram good = encode(m);
  EXPECT_EQ(read({}, out), Fault::kShort);
  EXPECT_EQ(read(good.view().first(kHeadBytes - 1), out), Fault::kShort);
  std::vector<std::uint8_t> longer(good.bytes.begin(), good.bytes.end());
  longer.resize(kMostBytes + 1);
  EXPECT_EQ(read(longer, out), Fault::kLong);
  EXPECT_EQ(read(changed(m, [](Datagram& d) { d.bytes[0] = 'X'; }).view(), out), Fault::kStrange);
  EXPECT_EQ(read(changed(m, [](Datagram& d) { d.bytes[2] = kVersion + 1; }).view(), out), Fault::kNewer);
  EXPECT_EQ(decode(good.view(), fleet_of("there"), kCount, out), Fault::kOther);
  EXPECT_EQ(read(good.view().first(good.size - 1), out), Fault::kDamaged) << "a record cut short";
  Message stranger = m;
  stranger.from = kCount;
  EXPECT_EQ(read(encode(stranger).view(), out), Fault::kSenseless);
  Message unborn = m;
  unborn.incarnation = 0;
  EXPECT_EQ(read(encode(unborn).view(), out), Fault::kSenseless);
  Message odd = m;
  odd.kind = static_cast<Kind>(9);
  EXPECT_EQ(read(encode(odd).view(), out), Fault::kSenseless);
  odd = m;
  odd.records[1].state = static_cast<State>(4);
  EXPECT_EQ(read(encode(odd).view(), out), Fault::kSenseless);
}

TEST(Codec, FindsEveryDamageOfOneBit) {
  std::mt19937_64 random(4);
  const Datagram good = encode(a_message(random, 5));
  for (std::size_t bit = 0; bit < good.size * 8; ++bit) {
    Datagram bad = good;
    bad.bytes[bit / 8] ^= static_cast<std::uint8_t>(1 << (bit % 8));
    Message out;
    ASSERT_NE(read(bad.view(), out), Fault::kNone) << "bit " << bit;
  }
}

TEST(Codec, ReadsNothingIntoNoise) {
  std::mt19937_64 random(5);
  for (int i = 0; i < 20000; ++i) {
    std::vector<std::uint8_t> noise(random() % 300);
    for (std::uint8_t& byte : noise) byte = static_cast<std::uint8_t>(random());
    if (i % 2 == 0 && noise.size() > 3) {
      noise[0] = 'T';
      noise[1] = 'W';
      noise[2] = kVersion;
    }
    Message out;
    ASSERT_NE(read(noise, out), Fault::kNone);
  }
}

// ---------------------------------------------------------------- rumours

Record rumour(int number, Incarnation incarnation = 1) {
  return {static_cast<Number>(number), 0, State::kAlive, 0, incarnation};
}

TEST(Rumors, RideOnlyAsOftenAsTheyMayAndTheLeastRiddenFirst) {
  Rumors rumors;
  for (int i = 0; i < 5; ++i) rumors.add(rumour(i));
  std::map<int, int> rode;
  for (int i = 0; i < 100; ++i) {
    std::vector<Record> out;
    rumors.take(2, 3, 99, out);
    for (const Record& r : out) rode[r.number] += 1;
    if (i == 1) {
      rumors.add(rumour(7));
      out.clear();
      rumors.take(1, 3, 99, out);
      ASSERT_EQ(out.size(), 1u);
      EXPECT_EQ(out[0].number, 7) << "what is new goes first";
      rode[7] += 1;
    }
  }
  for (const int number : {0, 1, 2, 3, 4, 7}) EXPECT_EQ(rode[number], 3) << number;
  EXPECT_EQ(rumors.size(), 0u);
}

TEST(Rumors, OfOneNodeAreOneAndTheNewerOne) {
  Rumors rumors;
  rumors.add(rumour(3, 1));
  rumors.add(rumour(3, 2));
  EXPECT_EQ(rumors.size(), 1u);
  std::vector<Record> out;
  rumors.take(9, 5, 3, out);
  EXPECT_TRUE(out.empty()) << "its own rider is left out";
  rumors.take(9, 5, 4, out);
  ASSERT_EQ(out.size(), 1u);
  EXPECT_EQ(out[0].incarnation, 2u);
  rumors.forget(3);
  EXPECT_EQ(rumors.size(), 0u);
}

}  // namespace
}  // namespace thymewood::membership
