; What is switched on beside scheduling: serve --config FILE --operations deploy/operations.sexp
; Nothing here is on without this file.

; Each controller says in the state service what its build supports, for as long as its process runs and this
; many seconds longer: `pearscale upgrade finalise` waits for the word of all of them.
(announce-support-s 60)
