// easylogging++ ships one source file beside its header, to be compiled once.
#include <easylogging++.cc>  // NOLINT(bugprone-suspicious-include)
