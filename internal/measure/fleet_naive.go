package measure

// naiveFleet sends requests round robin to targets with one FIFO queue each. The targets run all work to its end,
// because nothing tells them that a caller has left or that a deadline has passed. With cancels set, queued work whose
// caller has left and running work whose deadline has passed end at no cost. A naive version does not do this; it
// serves as a second comparison.
type naiveFleet struct {
	cancels bool
	sim     *simulation
	engine  fakeEngine
	queues  [][]*job
	running []int
}

func runNaive(engine fakeEngine, targets int, jobs []*job) { runFIFO(engine, targets, jobs, false) }

func runFIFO(engine fakeEngine, targets int, jobs []*job, cancels bool) {
	f := &naiveFleet{cancels: cancels, sim: newSimulation(), engine: engine, queues: make([][]*job, targets), running: make([]int, targets)}
	for i, j := range jobs {
		f.sim.after(j.arrivesAt+clientLatency+dataCentreLatency, func() {
			t := i % targets
			f.queues[t] = append(f.queues[t], j)
			f.startQueued(t)
		})
		f.sim.after(j.abandonedAt(), func() {
			if j.state == stateWaiting {
				j.refusedAt = j.abandonedAt()
				if cancels {
					j.state = stateAbandoned
				}
			}
		})
		f.sim.after(j.deadline, func() {
			if j.state == stateRunning {
				j.refusedAt = j.deadline
			}
		})
	}
	f.sim.run()
}

func (f *naiveFleet) startQueued(t int) {
	for f.running[t] < f.engine.slots && len(f.queues[t]) > 0 {
		j := f.queues[t][0]
		f.queues[t] = f.queues[t][1:]
		if j.state != stateWaiting {
			continue
		}
		f.running[t]++
		j.state, j.startedAt = stateRunning, f.sim.now.Sub(newSimulation().now)
		end := j.startedAt + f.engine.duration(f.engine.cost(j), j)
		until := end
		if f.cancels {
			until = min(end, j.deadline)
		}
		f.sim.after(until-j.startedAt, func() {
			j.state, j.finishedAt = stateCompleted, end
			if end > j.deadline {
				j.state = stateAbandoned
			}
			f.running[t]--
			f.startQueued(t)
		})
	}
}
