#ifndef ALMOND_CORE_STANDARD_STREAMS_H_
#define ALMOND_CORE_STANDARD_STREAMS_H_

#include <cstddef>
#include <optional>
#include <string_view>

namespace almond {

/// Makes writes to standard output and standard error return an error instead
/// of blocking while the reader does not read. To be called first in a daemon,
/// so that it also holds for messages of libraries. Writes to a redirected
/// regular file still wait for the disk.
void MakeStandardStreamsNonBlocking();

/// As MakeStandardStreamsNonBlocking, for one descriptor. A pipe or terminal is
/// opened again, because other processes that use it would share the flag
/// otherwise; sockets cannot be opened again and get the flag.
void MakeNonBlocking(int descriptor);

/// Writes to standard output.
/// @returns the number of bytes taken, 0 if it is not ready, or nothing if
///   there is no reader
std::optional<std::size_t> WriteToStandardOutput(std::string_view bytes);

}  // namespace almond

#endif  // ALMOND_CORE_STANDARD_STREAMS_H_
