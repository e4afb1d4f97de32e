; What is switched on beside scheduling: serve --config FILE --operations deploy/operations.sexp
; Nothing here is on without this file.

; Each controller says in the state service what its build supports, for as long as its process runs and this
; many seconds longer. The level of stored forms rises by itself when all have said that they support a higher one;
; with (automatic-level off) it waits for `pearscale upgrade finalise`.
(announce-support-s 60)

; Drains, once the stored state is at level 1: a budget for each team that has none of its own. Further ones, and
; windows, look like this:
;   (budget amanzi-pay imali-gate least-up 3)
;   (window night America/Costa_Rica mon,tue,wed,thu 22:00 04:00)
(drains on)
(budget * * most-down 1)
