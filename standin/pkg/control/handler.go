package control

import (
	"encoding/json"
	"io"
	"net/http"

	"chervilusher.dev/lib/settings"
)

// maxBodyBytes bounds the body of a control request.
const maxBodyBytes = 1 << 20

// Register serves POST and GET /control/faults and GET /control/counters.
func Register[F, C any](mux *http.ServeMux, faults *Switch[F], counters func() C) {
	mux.HandleFunc("POST /control/faults", Handle(func(wanted F) (F, error) {
		faults.Set(wanted)
		return faults.Get(), nil
	}))
	mux.HandleFunc("GET /control/faults", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, faults.Get())
	})
	mux.HandleFunc("GET /control/counters", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, counters())
	})
}

// Handle returns a handler that parses a typed body strictly and answers with JSON.
func Handle[Q, A any](serve func(Q) (A, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		var question Q
		if err = settings.Parse(raw, &question); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer, err := serve(question)
		if err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		WriteJSON(w, http.StatusOK, answer)
	}
}

// WriteJSON answers with the status and the value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
