"""Generated thrift code; see idl/filbertdrift.thrift."""
