#ifndef ALMOND_WIRE_THRIFT_BUFFER_H_
#define ALMOND_WIRE_THRIFT_BUFFER_H_

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <string>

#include "libalmond/core/frame.h"

namespace almond::wire {

/// @param message a generated Thrift structure
/// @returns its bytes in the compact protocol
template <typename Message>
std::string ToBytes(const Message& message) {
  using apache::thrift::protocol::TCompactProtocolT;
  using apache::thrift::transport::TMemoryBuffer;
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  message.write(&protocol);
  return buffer->getBufferAsString();
}

/// Reads one structure, which must fill the bytes exactly. Encoded sizes are
/// limited to the number of bytes, so that a damaged length field cannot cause
/// a large allocation.
/// @param bytes compact protocol
/// @param message filled on success
/// @returns false if the bytes are not a valid structure of that type
template <typename Message>
bool FromBytes(const std::string& bytes, Message& message) {
  using apache::thrift::TConfiguration;
  using apache::thrift::TException;
  using apache::thrift::protocol::TCompactProtocolT;
  using apache::thrift::transport::TMemoryBuffer;
  try {
    auto configuration =
        std::make_shared<TConfiguration>(static_cast<int>(kMaxFramePayload));
    auto buffer = std::make_shared<TMemoryBuffer>(
        // Thrift takes a non-const pointer but does not modify the bytes.
        reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data())),
        static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE,
        configuration);
    const auto limit = static_cast<std::int32_t>(bytes.size());
    TCompactProtocolT<TMemoryBuffer> protocol(buffer, limit, limit);
    message.read(&protocol);
    return buffer->available_read() == 0;
  } catch (const TException&) {
    return false;
  }
}

}  // namespace almond::wire

#endif  // ALMOND_WIRE_THRIFT_BUFFER_H_
